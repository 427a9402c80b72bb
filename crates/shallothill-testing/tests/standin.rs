//! Tests of the fixtures: behaviours, record and process of the stand-in, and the relay.

use std::process::Command;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use shallothill_testing::behaviour::{Behaviour, ColdStart, Flap};
use shallothill_testing::http::{Client, Reply};
use shallothill_testing::options::StandinOptions;
use shallothill_testing::process::{Process, wait_until};
use shallothill_testing::record::REQUEST_ID;
use shallothill_testing::relay::{Direction, Relay};
use shallothill_testing::standin::Standin;
use shallothill_testing::{Result, errors};

const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(10);

async fn get(address: std::net::SocketAddr, path: &str, deadline: Duration) -> Result<Reply> {
    let headers = [(REQUEST_ID, path)];
    Client::default()
        .send(Method::GET, address, path, &headers, Bytes::new(), deadline)
        .await
}

async fn start_standin(behaviour: Behaviour) -> Standin {
    let options = StandinOptions {
        behaviour,
        ..StandinOptions::default()
    };
    Standin::start(options).await.unwrap()
}

/// Guards against a behaviour without effect, with which fault tests would pass without any fault.
#[tokio::test]
async fn behaviours_take_effect() {
    let s = start_standin(Behaviour::default()).await;
    let address = s.address();
    assert_eq!(get(address, "/plain", TIMEOUT).await.unwrap().status, 200);
    s.set_behaviour(Behaviour {
        stall: true,
        ..Behaviour::default()
    });
    assert_eq!(get(address, "/health", TIMEOUT).await.unwrap().status, 200);
    assert!(get(address, "/stalled", SHORT_TIMEOUT).await.is_err());
    s.set_behaviour(Behaviour {
        error_percent: 100,
        ..Behaviour::default()
    });
    assert_eq!(get(address, "/failed", TIMEOUT).await.unwrap().status, 500);
    s.set_behaviour(Behaviour {
        shed_percent: 100,
        ..Behaviour::default()
    });
    assert_eq!(get(address, "/shed", TIMEOUT).await.unwrap().status, 503);
    s.set_behaviour(Behaviour {
        truncate_percent: 100,
        ..Behaviour::default()
    });
    let broken = get(address, "/broken", TIMEOUT).await;
    assert!(
        matches!(broken, Err(errors::Error::Http { .. })),
        "{broken:?}"
    );
    let cancelled = || async {
        s.record()
            .iter()
            .any(|r| r.path == "/stalled" && r.cancelled)
    };
    wait_until("the cancellation", TIMEOUT, cancelled)
        .await
        .unwrap();
    let ran: Vec<String> = s.record().into_iter().map(|r| r.path).collect();
    assert_eq!(ran, ["/plain", "/stalled", "/failed", "/broken"]);
}

/// Guards against wrong phases of flapping and a wrong end of a cold start.
#[test]
fn flaps_and_cold_starts_follow_their_times() {
    let flap = Some(Flap {
        good_ms: 10,
        bad_ms: 5,
    });
    let cold_start = Some(ColdStart {
        requests: 2,
        extra_ms: 7,
    });
    let b = Behaviour {
        flap,
        cold_start,
        latency_ms: 3,
        ..Behaviour::default()
    };
    assert_eq!(
        [0, 9, 10, 14, 15].map(|ms| b.stalls(ms)),
        [false, false, true, true, false]
    );
    assert_eq!([0, 1, 2].map(|n| b.work_ms(n, "/")), [10, 10, 3]);
    assert_eq!([1, 2].map(|n| b.state(n).to_owned()), ["cold", "ready"]);
}

/// Guards against a relay that closes connections or loses bytes instead of holding them back.
#[tokio::test]
async fn relay_cuts_one_direction_and_heals() {
    let s = start_standin(Behaviour::default()).await;
    let listen = "127.0.0.1:0".parse().unwrap();
    let relay = Relay::start(listen, s.address()).await.unwrap();
    relay.cut(Direction::FromTarget);
    let answer = tokio::spawn(get(relay.address(), "/held", TIMEOUT));
    let arrived = || async { s.record().iter().any(|r| r.path == "/held") };
    wait_until("the arrival of the request", TIMEOUT, arrived)
        .await
        .unwrap();
    assert!(!answer.is_finished());
    relay.heal(Direction::FromTarget);
    assert_eq!(answer.await.unwrap().unwrap().status, 200);
    relay.cut(Direction::ToTarget);
    assert!(
        get(relay.address(), "/unseen", SHORT_TIMEOUT)
            .await
            .is_err()
    );
    assert!(s.record().iter().all(|r| r.path != "/unseen"));
}

/// Guards against a stand-in that aborts running requests at SIGTERM, or keeps running after a
/// request with the crash mark.
#[tokio::test(flavor = "multi_thread")]
async fn process_drains_at_sigterm_and_crashes_on_the_mark() {
    let dir = tempfile::tempdir().unwrap();
    let start = |behaviour: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shallothill-standin"));
        command.args(["--behaviour", behaviour]);
        Process::start(command, &dir.path().join("log"), TIMEOUT).unwrap()
    };
    let slow = start(r#"{"latency_ms": 400}"#);
    let address = slow.address("http").unwrap();
    let running = tokio::spawn(get(address, "/slow", TIMEOUT));
    let record = || async {
        let record = get(address, "/standin/record", TIMEOUT).await.unwrap();
        record.body.starts_with(b"[{")
    };
    wait_until("the start of the request", TIMEOUT, record)
        .await
        .unwrap();
    let ended = tokio::task::spawn_blocking(move || slow.terminate(TIMEOUT))
        .await
        .unwrap();
    assert!(ended.unwrap().success());
    assert_eq!(running.await.unwrap().unwrap().status, 200);

    let mut fragile = start(r#"{"crash_mark": "poison"}"#);
    let address = fragile.address("http").unwrap();
    assert!(get(address, "/poison", TIMEOUT).await.is_err());
    wait_until("the crash", TIMEOUT, || {
        let ended = fragile.has_ended();
        async move { ended }
    })
    .await
    .unwrap();
}
