//! Nodes watch the configuration and the directory at keepers.

mod common;

use std::time::Duration;

use common::Group;
use shallothill_core::hash::Fingerprint;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointId, EndpointName, NodeName, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{
    DirectoryChange, EjectionToken, EndpointLoad, EndpointStatus, LeaseAnswer, LeaseRequest,
};
use shallothill_keeper::config_state::SectionHistory;
use shallothill_keeper::published::PublishedConfig;
use shallothill_wire::channel::RpcChannel;
use shallothill_wire::control::KeeperControlClient;
use shallothill_wire::crash::CrashNotice;
use shallothill_wire::operator::SubmitReply;
use shallothill_wire::report::{ReportReply, ReportRequest};
use shallothill_wire::watch::{ConfigUpdate, WatchReply, WatchRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

type Control = RpcChannel<KeeperControlClient>;

async fn watch(control: &Control, version: u64, last: Option<&WatchReply>) -> WatchReply {
    let cursor = last.and_then(|r| r.directory.as_ref()).map(|d| d.cursor);
    let req = WatchRequest {
        node: NodeName::try_new("n1").unwrap(),
        config_version: ConfigVersion(version),
        cursor,
        complete: last.is_some(),
        isolated: false,
        wait_ms: 20_000,
        confirm: false,
    };
    let call = control.call(
        common::DEADLINE,
        |c, cx| async move { c.watch(cx, req).await },
    );
    call.await.unwrap()
}

async fn report(control: &Control, req: ReportRequest) -> ReportReply {
    let call = control.call(
        common::DEADLINE,
        |c, cx| async move { c.report(cx, req).await },
    );
    call.await.unwrap()
}

fn endpoint(node: &str) -> EndpointId {
    EndpointId {
        service: ServiceName::try_new("rulings").unwrap(),
        node: NodeName::try_new(node).unwrap(),
        name: EndpointName::try_new("a").unwrap(),
    }
}

fn ready(node: &str) -> ReportRequest {
    let mut req = common::report(node, 1);
    let EndpointId { service, name, .. } = endpoint(node);
    req.report.endpoints = vec![EndpointStatus {
        service,
        name,
        slots: 5,
        state: ServingState::Ready,
    }];
    req
}

async fn lease(control: &Control, node: &str, number: u32) -> LeaseAnswer {
    let token = EjectionToken {
        service: endpoint(node).service,
        region: common::zone().region,
        number,
    };
    let req = LeaseRequest {
        token,
        endpoint: endpoint(node),
        incarnation: Incarnation(1),
        round: 1,
    };
    let call = control.call(
        common::DEADLINE,
        |c, cx| async move { c.lease(cx, req).await },
    );
    call.await.unwrap().answer
}

/// Guards against updates that carry unchanged sections, or from which a node builds another
/// configuration than the submitted text describes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watcher_is_woken_and_gets_changed_sections_only() {
    let group = Group::start(1).await;
    let control = group.control(0);
    let texts = [common::text(300, 0), common::text(300, 1)];
    group.submit(0, 0, "c0", &texts[0]).await;
    common::wait("version 1", || {
        group.keeper(0).published.load().version().0 == 1
    })
    .await;
    let first = watch(&control, 0, None).await;
    let node = PublishedConfig::default()
        .apply_update(first.config.clone().unwrap(), Vec::new())
        .unwrap();

    let (woken, _) = tokio::join!(
        watch(&control, 1, Some(&first)),
        group.submit(0, 1, "c1", &texts[1]),
    );

    let Some(ConfigUpdate::Changed { sections, .. }) = &woken.config else {
        panic!("{:?}", woken.config);
    };
    assert_eq!(sections.len(), 1);
    let node = node
        .apply_update(woken.config.clone().unwrap(), Vec::new())
        .unwrap();
    assert_eq!(**node.config(), common::config(&texts[1]));
}

/// Guards against one reply per watcher for each of `n` hosts that start together, `n * n` replies
/// in all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_of_the_directory_are_batched() {
    const NODES: usize = 40;
    let batch_delay = Duration::from_millis(200);
    let group = Group::start(1).await;
    let control = group.control(0);
    let mut last = watch(&control, 0, None).await;
    let started = std::time::Instant::now();
    let reports = async {
        for i in 0..NODES {
            report(&group.control(0), ready(&format!("n{i}"))).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };

    let follow = async {
        let (mut seen, mut replies) = (0, 0);
        while seen < NODES {
            last = watch(&control, 0, Some(&last)).await;
            seen += last.directory.as_ref().map_or(0, |d| d.changes.len());
            replies += 1;
        }
        replies
    };
    let (replies, ()) = tokio::join!(follow, reports);

    let most = started.elapsed().as_millis() / batch_delay.as_millis() + 1;
    assert!(replies as u128 <= most, "{replies} replies, at most {most}");
}

/// Guards against a node that cannot follow because the keeper's history does not reach back to its
/// version: the manifest and the missing sections must lead to the same configuration.
#[test]
fn node_without_shared_history_gets_a_manifest() {
    let (old, new) = (
        common::config(&common::text(50, 0)),
        common::config(&common::text(60, 1)),
    );
    let node = PublishedConfig::new(ConfigVersion(3), old, SectionHistory::default());
    let keeper = PublishedConfig::new(ConfigVersion(9), new.clone(), SectionHistory::default());

    let update = keeper.update_since(node.version()).unwrap();
    let ConfigUpdate::Manifest { manifest, .. } = &update else {
        panic!("{update:?}");
    };
    let fetched = keeper.sections(&node.missing_sections(manifest));
    let node = node.apply_update(update, fetched).unwrap();

    assert_eq!(
        (node.version(), node.config().as_ref()),
        (ConfigVersion(9), &new)
    );
}

/// Guards against reports and crash notices that do not reach the watchers of other keepers, and
/// against a repeated notice that is delivered twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_and_crashes_reach_watchers_of_other_keepers() {
    let group = Group::start(3).await;
    let (here, there) = (group.control(0), group.control(1));
    let mut last = watch(&there, 0, None).await;
    let mut req = common::report("n7", 0);
    let notice = CrashNotice {
        fingerprint: Fingerprint(5),
        endpoint: endpoint("n7"),
        crash: 1,
        age_ms: 10,
    };
    req.crashes = vec![notice.clone(), notice.clone()];

    report(&here, req.clone()).await;
    report(&here, req).await;

    let (mut seen, mut crashes) = (false, Vec::new());
    while !seen || crashes.is_empty() {
        last = watch(&there, 0, Some(&last)).await;
        let changes = last.directory.iter().flat_map(|d| &d.changes);
        seen |= changes
            .into_iter()
            .any(|c| {
                matches!(c, DirectoryChange::Present { report, .. } if report.node.as_str() == "n7")
            });
        crashes.extend(last.crashes.clone());
    }
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].endpoint, notice.endpoint);
    assert!(crashes[0].age_ms >= notice.age_ms);
}

/// Guards against ejections that take a service below its floor: keepers may grant only as many
/// tokens as there are healthy backend servers above the floor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_leases_keep_the_floor() {
    let group = Group::start(1).await;
    let control = group.control(0);
    group.submit(0, 0, "c0", &common::text_with_floor(2)).await;
    common::wait("version 1", || {
        group.keeper(0).published.load().version().0 == 1
    })
    .await;
    for node in ["n1", "n2", "n3"] {
        report(&control, ready(node)).await;
    }

    // A keeper that was just started grants nothing for 7 s.
    while lease(&control, "n1", 0).await == LeaseAnswer::Starting {
        for node in ["n1", "n2", "n3"] {
            report(&control, ready(node)).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut answers = Vec::new();
    for (node, number) in [("n1", 0), ("n2", 0), ("n2", 1)] {
        answers.push(lease(&control, node, number).await);
    }

    let expected = [
        LeaseAnswer::Granted,
        LeaseAnswer::Taken,
        LeaseAnswer::OverBudget,
    ];
    assert_eq!(answers, expected);
}

/// Guards against medians, with which a gate compares its backend server, that cover only one
/// keeper's nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn summaries_cover_all_keepers() {
    let group = Group::start(2).await;
    let load = |node: &str, p50_us| {
        let mut req = common::report(node, 0);
        req.loads = vec![EndpointLoad {
            service: endpoint(node).service,
            name: endpoint(node).name,
            in_flight: 1,
            queued: 0,
            completed: 10,
            p50_us,
            oldest_us: 0,
            errors: 0,
        }];
        req
    };
    let nodes = [("n1", 1_000), ("n2", 10_000), ("n3", 11_000)];

    let summary = loop {
        let mut last = Vec::new();
        for (i, (node, p50)) in nodes.iter().enumerate() {
            last = report(&group.control(i % 2), load(node, *p50))
                .await
                .summaries;
        }
        match last.first() {
            Some(summary) if summary.endpoints == 3 => break summary.clone(),
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    };

    assert_eq!(summary.completed, 30);
    assert!(
        (9_000..11_000).contains(&summary.p50_us),
        "{}",
        summary.p50_us
    );
}

/// Guards against a keeper that fails when a frame is not a call or announces more than the limit:
/// only the frame's connection may end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_frames_end_their_connection_only() {
    let group = Group::start(1).await;
    let settings = &group.settings[0];
    let frames: [&[u8]; 3] = [
        &[0xff, 0xff, 0xff, 0xff, 1, 2, 3],
        &[0, 0, 0, 4, 0xc1, 0xc1, 0xc1, 0xc1],
        b"GET / HTTP/1.1\r\n\r\n",
    ];

    for address in [settings.control_address, settings.peer_address] {
        for frame in frames {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(frame).await.unwrap();
            let mut buf = Vec::new();
            let ended = tokio::time::timeout(common::DEADLINE, stream.read_to_end(&mut buf));
            // A reset ends the connection as well.
            let _ = ended.await.expect("the connection stays open");
        }
    }

    let reply = report(&group.control(0), common::report("n1", 0)).await;
    assert_eq!(reply.config_version, ConfigVersion(0));
    assert!(group.status(0).await.quorum);
}

/// Guards against keepers that publish a text of more than 1 MB differently: the keeper at which it
/// was submitted parses it, and the others fetch its sections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_text_is_served_alike_by_all_keepers() {
    let group = Group::start(3).await;
    for n in 0..2 {
        let text = common::text(30_000, n);
        assert!(text.len() > 1 << 20);
        let reply = group.submit(1, u64::from(n), &format!("c{n}"), &text).await;
        let version = ConfigVersion(u64::from(n) + 1);
        assert_eq!(reply, SubmitReply::Accepted { version });
        let expected = common::config(&text);
        for i in 0..3 {
            let keeper = group.keeper(i);
            common::wait("the version", || {
                keeper.published.load().version() == version
            })
            .await;
            assert_eq!(**keeper.published.load().config(), expected);
        }
    }
}
