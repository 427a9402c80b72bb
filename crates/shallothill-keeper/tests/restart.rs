//! Restarts, failovers and lost data folders.

mod common;

use std::fs;
use std::process::Command;

use common::Group;
use shallothill_core::hash::ContentHash;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{EndpointName, NodeName, ServiceName};
use shallothill_core::version::ConfigVersion;
use shallothill_directory::Departure;
use shallothill_ledger::{
    Claim, ClaimAnswer, ClaimId, ClaimRefusal, ClaimReply, ClaimRequest, CompleteRequest,
    Completion, MemberStatus,
};
use shallothill_runtime::clock;
use shallothill_testing::process::Process;
use shallothill_wire::channel::RpcChannel;
use shallothill_wire::control::KeeperControlClient;
use shallothill_wire::departures::RecordDeparturesRequest;
use shallothill_wire::operator::{ShowReply, SubmitReply};

fn request(claim: u64) -> ClaimRequest {
    let ms = clock::now().0 / 1000 * 1000;
    // The same key for every claim of a test, which takes less time than a key's retention.
    let key = format!("{:08x}-{:04x}-7000-8000-000000000001", ms >> 16 & !0xff, 0);
    ClaimRequest {
        key: IdempotencyKey::try_parse(&key).unwrap(),
        claim: Claim {
            id: ClaimId(0, claim),
            body_hash: ContentHash(1, 1),
            gate: NodeName::try_new("n1").unwrap(),
            expires: clock::now(),
        },
    }
}

async fn claim(control: &RpcChannel<KeeperControlClient>, req: &ClaimRequest) -> ClaimReply {
    let req = req.clone();
    let call = control.call(
        common::DEADLINE,
        |c, cx| async move { c.claim(cx, req).await },
    );
    call.await.unwrap()
}

fn holder(reply: &ClaimReply) -> Option<ClaimId> {
    match &reply.answer {
        ClaimAnswer::Holds { claim, .. } => Some(claim.id),
        _ => None,
    }
}

/// Guards against the loss of accepted changes in a restart: a resend must get the first outcome,
/// and the version must not go back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_an_accepted_configuration_survives_a_restart() {
    let mut group = Group::start(1).await;
    let texts = [common::text(2, 0), common::text(2, 1)];
    for (base, text) in texts.iter().enumerate() {
        group
            .submit(0, base as u64, &format!("c{base}"), text)
            .await;
    }

    group.stop_one(0).await;
    group.start_one(0, false).await;
    group.wait_quorum(0).await;

    let resent = group.submit_until_answered(0, 0, "c0", &texts[0]).await;
    let version = ConfigVersion(1);
    assert_eq!(resent, SubmitReply::Accepted { version });
    let shown: ShowReply = group.get(0, "/config/show").await;
    assert_eq!(
        (shown.version, shown.text.as_ref()),
        (ConfigVersion(2), Some(&texts[1]))
    );
}

/// Guards against a group that is stuck without its first primary: the others must accept changes
/// and answer resends with the first outcome, and the former primary must catch up after its
/// restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_an_accepted_configuration_survives_its_primary() {
    let mut group = Group::start(3).await;
    let texts = [common::text(2, 0), common::text(2, 1)];
    let first = group.submit_until_answered(0, 0, "c0", &texts[0]).await;
    let primary = group.primary().await;

    group.stop_one(primary).await;
    let other = (primary + 1) % 3;
    let resent = group.submit_until_answered(other, 0, "c0", &texts[0]).await;
    let second = group.submit_until_answered(other, 1, "c1", &texts[1]).await;
    group.start_one(primary, false).await;

    assert_eq!(resent, first);
    let version = ConfigVersion(2);
    assert_eq!(second, SubmitReply::Accepted { version });
    let keeper = group.keeper(primary);
    common::wait("version 2", || keeper.published.load().version() == version).await;
}

/// Guards against a request that runs twice because a killed keeper forgot a claim that it had
/// answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_a_claim_survives_a_killed_process() {
    let group = Group::prepare(1);
    let settings = &group.settings[0];
    let path = group.dir.path().join("keeper.yaml");
    let text = format!(
        "id: 1\nregion: central\ndata_centre: central-1\ndata_dir: {}\n\
         control_address: {c}\npeer_address: {p}\nprocess: {{admin_address: \"{}\"}}\n\
         regions: [central]\nkeepers:\n  - {{id: 1, region: central, data_centre: central-1, \
         control_address: \"{c}\", peer_address: \"{p}\"}}\n",
        settings.data_dir.display(),
        settings.process.admin_address,
        c = settings.control_address,
        p = settings.peer_address,
    );
    fs::write(&path, text).unwrap();
    let log = group.dir.path().join("log");
    let start = |flags: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shallothill-keeper"));
        command.arg("--settings").arg(&path).args(flags);
        Process::start(command, &log, common::DEADLINE).unwrap()
    };
    let control = group.control(0);
    let req = request(1);

    let mut process = start(&["--new-group"]);
    while holder(&claim(&control, &req).await) != Some(ClaimId(0, 1)) {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    process.kill();
    let restarted = start(&[]);

    let control = group.control(0);
    let reply = claim(
        &control,
        &ClaimRequest {
            claim: request(2).claim,
            ..req
        },
    )
    .await;
    assert_eq!(holder(&reply), Some(ClaimId(0, 1)));
    assert!(restarted.terminate(common::DEADLINE).unwrap().success());
}

/// Guards against a keeper that lost its data folder and supports a claim before it has recovered
/// the others' claims, also when it is started with the flag for a new group.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_a_lost_data_folder_recovers_before_it_counts() {
    let mut group = Group::start(3).await;
    let text = common::text(2, 0);
    group.submit_until_answered(0, 0, "c0", &text).await;
    let req = request(1);
    for i in [1, 2] {
        assert_eq!(
            holder(&claim(&group.control(i), &req).await),
            Some(ClaimId(0, 1))
        );
    }
    let before = group.keeper(0).ledger.state().incarnation;
    group.stop_one(0).await;
    fs::remove_dir_all(&group.settings[0].data_dir).unwrap();
    group.stop_one(2).await;

    group.start_one(0, true).await;
    let other = ClaimRequest {
        claim: request(2).claim,
        ..req
    };
    let early = claim(&group.control(0), &other).await;
    group.start_one(2, false).await;
    let keeper = group.keeper(0);
    common::wait("recovery", || {
        keeper.ledger.state().status == MemberStatus::Ready
    })
    .await;

    assert_eq!(early.answer, ClaimAnswer::Refused(ClaimRefusal::Recovering));
    let late = claim(&group.control(0), &other).await;
    assert_eq!(holder(&late), Some(ClaimId(0, 1)));
    assert!(late.incarnation > before);
    common::wait("version 1", || {
        keeper.published.load().version() == ConfigVersion(1)
    })
    .await;
}

/// Guards against nodes that stay behind while most keepers are down: without a quorum, a keeper
/// must still serve the highest version that another one has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_a_configuration_spreads_without_a_quorum() {
    let mut group = Group::start(5).await;
    group.stop_one(4).await;
    let text = common::text(2, 0);
    group.submit_until_answered(0, 0, "c0", &text).await;
    let version = ConfigVersion(1);
    let first = group.keeper(0).clone();
    common::wait("version 1", || first.published.load().version() == version).await;
    for i in [1, 2, 3] {
        group.stop_one(i).await;
    }
    common::wait("the end of the quorum", || {
        first.log.status().primary.is_none()
    })
    .await;

    group.start_one(4, false).await;

    let last = group.keeper(4);
    common::wait("version 1", || last.published.load().version() == version).await;
    assert_eq!(**last.published.load().config(), common::config(&text));
    let logged = last.state.lock().unwrap().version();
    assert_eq!(logged, ConfigVersion(0));
}

/// Guards against a new group that reuses versions which nodes act on, after the loss of all data
/// folders.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_group_continues_above_the_nodes_version() {
    let group = Group::start(1).await;
    let control = group.control(0);
    let report = common::report("n1", 41);
    let call = control.call(common::DEADLINE, |c, cx| async move {
        c.report(cx, report).await
    });
    call.await.unwrap();

    let reply = group.submit(0, 0, "c0", &common::text(2, 0)).await;

    let version = ConfigVersion(42);
    assert_eq!(reply, SubmitReply::Accepted { version });
}

/// Guards against the loss of departures of backend servers when all keepers are restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn departures_survive_a_restart() {
    let mut group = Group::start(1).await;
    let node = NodeName::try_new("n1").unwrap();
    let departure = Departure {
        service: ServiceName::try_new("courier").unwrap(),
        name: EndpointName::try_new("e1").unwrap(),
        started_ms: 1,
        sequence: u64::MAX,
    };
    let req = RecordDeparturesRequest {
        node: node.clone(),
        departures: vec![departure.clone()],
    };
    let control = group.control(0);
    let call = control.call(common::DEADLINE, |c, cx| async move {
        c.record_departures(cx, req).await
    });
    let durable = call.await.unwrap().durable;

    group.stop_one(0).await;
    group.start_one(0, false).await;
    let control = group.control(0);
    let call = control.call(common::DEADLINE, |c, cx| async move {
        c.departures(cx, node).await
    });

    assert!(durable);
    assert_eq!(call.await.unwrap().departures, Some(vec![departure]));
}

/// Guards against a keeper that goes on acknowledging after its disk has failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_disk_ends_the_process() {
    let mut group = Group::start(1).await;
    let control = group.control(0);
    // The next file of the ledger's log, after 8 MB, cannot be created any more.
    fs::remove_dir_all(&group.settings[0].data_dir).unwrap();
    for n in 0..1_000 {
        let req = request(n);
        let complete = CompleteRequest {
            key: IdempotencyKey::try_parse(&format!("{}{n:03}", &req.key.to_string()[..33]))
                .unwrap(),
            claim: req.claim,
            completion: Completion::Answered {
                status: 200,
                headers: Vec::new(),
                body: Some(vec![200; 16 * 1024]),
            },
        };
        let call = control.call(common::DEADLINE, |c, cx| async move {
            c.complete(cx, complete).await
        });
        if !matches!(call.await, Ok(true)) {
            break;
        }
    }

    let ended = group.running[0].take().unwrap().wait_until_ended().await;

    let message = ended.unwrap_err().to_string();
    assert!(message.starts_with("ledger:"), "{message}");
}

/// Guards against a starting node that uses the version of a keeper that missed a change: every
/// keeper must confirm the accepted version, and none may confirm a version without a quorum.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirmed_versions_are_accepted_ones() {
    let mut group = Group::start(3).await;
    let primary = group.primary().await;
    let other = (primary + 1) % 3;
    let third = (primary + 2) % 3;
    let submitted = group
        .submit_until_answered(primary, 0, "a", &common::text(2, 0))
        .await;
    let confirmed = async |group: &Group, i: usize| {
        let control = group.control(i);
        let call = control.call(common::DEADLINE, |c, cx| async move {
            c.confirmed_version(cx).await
        });
        call.await.unwrap()
    };

    let at_primary = confirmed(&group, primary).await;
    let at_other = confirmed(&group, other).await;
    group.stop_one(primary).await;
    group.stop_one(third).await;
    let without_quorum = confirmed(&group, other).await;

    let version = ConfigVersion(1);
    assert_eq!(submitted, SubmitReply::Accepted { version });
    assert_eq!(at_primary, Some(version));
    assert_eq!(at_other, Some(version));
    assert_eq!(without_quorum, None);
}
