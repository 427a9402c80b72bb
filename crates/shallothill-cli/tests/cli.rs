//! Runs the command against the admin endpoint of a fake keeper: exit codes, resends and output.

use std::net::SocketAddr;
use std::process::Output;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use serde_json::{Value, json};
use shallothill_core::ids::{KeeperId, Zone};
use shallothill_core::version::ConfigVersion;
use shallothill_runtime::admin;
use shallothill_runtime::admin::{AdminHandler, AdminRequest};
use shallothill_testing::builders::ConfigBuilder;
use shallothill_wire::operator::{
    DataCentreStatus, KeeperStatus, KeyReply, ShowReply, StatusReply, SubmitReply, SubmitRequest,
};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio_util::sync::{CancellationToken, DropGuard};

/// `FakeKeeper` answers submissions from a list, whose last answer it repeats.
struct FakeKeeper {
    answers: Mutex<Vec<SubmitReply>>,
    submissions: Mutex<Vec<SubmitRequest>>,
}

impl AdminHandler for FakeKeeper {
    async fn dump(&self) -> Value {
        json!({"kept": 1})
    }

    async fn handle(&self, req: AdminRequest) -> Option<Response<Full<Bytes>>> {
        let version = ConfigVersion(4);
        Some(match req.path.as_str() {
            "/config/submit" => {
                self.submissions
                    .lock()
                    .unwrap()
                    .push(rmp_serde::from_slice(&req.body).unwrap());
                let mut answers = self.answers.lock().unwrap();
                let next = if answers.len() > 1 {
                    answers.remove(0)
                } else {
                    answers[0].clone()
                };
                admin::msgpack_response(&next)
            }
            "/config/show" => {
                let text = req.query_value("version").is_none().then(|| text(5));
                admin::msgpack_response(&ShowReply { version, text })
            }
            "/status" => admin::msgpack_response(&status()),
            path if path.starts_with("/ledger/") => admin::msgpack_response(&KeyReply {
                state: String::from("completed"),
                gate: None,
                status: Some(201),
            }),
            _ => return None,
        })
    }
}

fn status() -> StatusReply {
    let zone: Zone = serde_json::from_value(json!({"region": "a", "data_centre": "a-1"})).unwrap();
    let behind = vec![serde_json::from_value(json!("n7")).unwrap()];
    let (config_version, quorum) = (ConfigVersion(4), true);
    let data_centres = vec![DataCentreStatus {
        zone,
        nodes: 2,
        in_force: 1,
        behind,
    }];
    let keeper = KeeperId(1);
    let keepers = vec![KeeperStatus {
        keeper,
        heard: true,
        primary: true,
        config_version,
    }];
    StatusReply {
        config_version,
        quorum,
        data_centres,
        keepers,
    }
}

async fn start_keeper(answers: Vec<SubmitReply>) -> (Arc<FakeKeeper>, SocketAddr, DropGuard) {
    let (answers, submissions) = (Mutex::new(answers), Mutex::default());
    let keeper = Arc::new(FakeKeeper {
        answers,
        submissions,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(admin::serve(listener, Arc::clone(&keeper), stop.clone()));
    (keeper, address, stop.drop_guard())
}

fn text(slots: u16) -> String {
    ConfigBuilder::new(&["a"])
        .service("s", json!({ "slots": slots }))
        .build()
}

async fn run(args: &[&str], keepers: &[SocketAddr]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shallothill"));
    command
        .args(args)
        .env_remove("SHALLOTHILL_KEEPERS")
        .kill_on_drop(true);
    for address in keepers {
        command.arg("--keeper").arg(address.to_string());
    }
    command.output().await.unwrap()
}

async fn submit(text: &str, keepers: &[SocketAddr], options: &[&str]) -> Output {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let path = file.path().to_string_lossy().into_owned();
    let mut args = vec!["submit", path.as_str()];
    args.extend(options);
    run(&args, keepers).await
}

fn printed_text(output: &Output) -> String {
    let parts = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8(parts).unwrap()
}

fn accepted() -> SubmitReply {
    SubmitReply::Accepted {
        version: ConfigVersion(5),
    }
}

/// Guards against a submission that overwrites a version the operator has not read.
#[tokio::test]
async fn submit_without_base_is_rejected_with_a_remedy() {
    let (keeper, address, _stop) = start_keeper(vec![accepted()]).await;
    let output = submit(&text(5), &[address], &[]).await;
    assert_eq!(output.status.code(), Some(2), "{}", printed_text(&output));
    assert!(
        printed_text(&output).contains("shallothill show"),
        "{}",
        printed_text(&output)
    );
    assert!(keeper.submissions.lock().unwrap().is_empty());
}

/// Guards against a lost answer that is reported as a failure, or a resend with a new change id.
#[tokio::test]
async fn submissions_are_resent_with_the_same_change_id_after_a_lost_answer() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unresponsive_address = unresponsive.local_addr().unwrap();
    let request = tokio::spawn(async move {
        let (mut stream, _) = unresponsive.accept().await.unwrap();
        let mut buf = vec![0; 64 * 1024];
        let mut n = 0;
        while !buf[..n].windows(5).any(|w| w == b"slots") {
            n += stream.read(&mut buf[n..]).await.unwrap();
        }
        String::from_utf8_lossy(&buf[..n]).into_owned()
    });
    let unavailable = SubmitReply::Unavailable {
        reason: String::from("no quorum"),
    };
    let (keeper, address, _stop) = start_keeper(vec![unavailable, accepted()]).await;
    let output = submit(&text(5), &[unresponsive_address, address], &["--base", "4"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", printed_text(&output));
    let requests = keeper.submissions.lock().unwrap().clone();
    assert_eq!(requests.len(), 2);
    assert_eq!(requests[0], requests[1]);
    assert!(request.await.unwrap().contains(&requests[0].change_id));
}

/// Guards against a command that waits for a keeper that accepts connections but never answers.
#[tokio::test]
async fn unresponsive_keepers_do_not_block_the_command() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unresponsive_address = unresponsive.local_addr().unwrap();
    let (keeper, address, _stop) = start_keeper(vec![accepted()]).await;
    // The timeout is shorter than that of one call, so a command that waits for the call fails.
    let options = ["--base", "4", "--timeout", "4"];
    let output = submit(&text(5), &[unresponsive_address, address], &options).await;
    assert_eq!(output.status.code(), Some(0), "{}", printed_text(&output));
    assert_eq!(keeper.submissions.lock().unwrap().len(), 1);
}

/// Guards against a conflict that is printed without the difference or the new base version.
#[tokio::test]
async fn conflict_prints_the_difference() {
    let (current, current_text) = (ConfigVersion(9), text(6));
    let conflict = SubmitReply::Conflict {
        current,
        current_text,
    };
    let (_, address, _stop) = start_keeper(vec![conflict]).await;
    let output = submit(&text(5), &[address], &["--base", "4"]).await;
    assert_eq!(output.status.code(), Some(1));
    let printed = printed_text(&output);
    assert!(printed.contains("~ services.s.slots: 6 -> 5"), "{printed}");
    assert!(printed.contains("--base 9"), "{printed}");
}

/// Guards against an unknown result with the exit code of a success or a rejection.
#[tokio::test]
async fn unreachable_keepers_exit_with_3() {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let output = run(&["status", "--timeout", "1"], &[address]).await;
    assert_eq!(output.status.code(), Some(3), "{}", printed_text(&output));
    let options = ["--base", "4", "--change-id", "c1", "--timeout", "1"];
    let output = submit(&text(5), &[address], &options).await;
    assert_eq!(output.status.code(), Some(3));
    assert!(
        printed_text(&output).contains("--base 4 --change-id c1"),
        "{}",
        printed_text(&output)
    );
    assert_eq!(run(&["status"], &[]).await.status.code(), Some(2));
}

/// Guards against a faulty text that exits with 0 or is sent to the keepers.
#[tokio::test]
async fn faults_exit_with_1_and_are_not_sent() {
    let (keeper, address, _stop) = start_keeper(vec![accepted()]).await;
    let output = submit(&text(0), &[address], &["--base", "4"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(
        printed_text(&output).contains("services.s.slots"),
        "{}",
        printed_text(&output)
    );
    assert!(keeper.submissions.lock().unwrap().is_empty());
}

/// Guards against text or JSON output that misses the result.
#[tokio::test]
async fn results_are_printed_as_text_and_as_json() {
    let (_, address, _stop) = start_keeper(vec![accepted()]).await;
    let shown = run(&["show"], &[address]).await;
    assert_eq!(
        (
            String::from_utf8(shown.stdout).unwrap(),
            shown.status.code()
        ),
        (text(5), Some(0))
    );
    assert_eq!(
        run(&["show", "--version", "1"], &[address])
            .await
            .status
            .code(),
        Some(1)
    );
    let printed = printed_text(&run(&["status"], &[address]).await);
    assert!(
        printed.contains("a/a-1        2      1         n7"),
        "{printed}"
    );
    let json: StatusReply =
        serde_json::from_slice(&run(&["status", "--json"], &[address]).await.stdout).unwrap();
    assert_eq!(json, status());
    let key = "a.0190163d-8694-739b-aea5-966c26f8ad91";
    assert!(printed_text(&run(&["ledger", key], &[address]).await).contains("completed"));
    assert_eq!(
        run(&["ledger", "x"], &[address]).await.status.code(),
        Some(2)
    );
    let dump = run(&["dump", &address.to_string()], &[]).await;
    assert_eq!(
        serde_json::from_slice::<Value>(&dump.stdout).unwrap(),
        json!({"kept": 1})
    );
}
