//! The log of a node process on standard output.

mod support;

use std::io::{BufRead, BufReader, PipeReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::{io, thread};

use hyper::Method;
use serde_json::Value;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster};
use tempfile::TempDir;

/// A node whose standard output is a pipe of the test; it is killed when it is dropped.
struct PipedNode {
    child: Child,
    out: BufReader<PipeReader>,
    caller: SocketAddr,
    _keepers: Keepers,
    _dir: TempDir,
}

impl PipedNode {
    /// Starts the node and reads up to its `ready` line; also returns another write end of the
    /// pipe.
    async fn start() -> (Self, io::PipeWriter) {
        let dir = TempDir::new().unwrap();
        let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
        let settings = cluster::write_settings_file("n1", &keepers, dir.path());
        let (reader, writer) = io::pipe().unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_shallothill-node"));
        command.arg("--settings").arg(settings);
        let child = command
            .stdin(Stdio::null())
            .stdout(writer.try_clone().unwrap())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        drop(command);
        let mut out = BufReader::new(reader);
        let mut line = String::new();
        while !line.starts_with("ready") {
            line.clear();
            assert!(out.read_line(&mut line).unwrap() > 0, "the node has ended");
        }
        let caller = line
            .split_whitespace()
            .find_map(|p| p.strip_prefix("caller="));
        let caller = caller.unwrap().parse().unwrap();
        let piped = Self {
            child,
            out,
            caller,
            _keepers: keepers,
            _dir: dir,
        };
        (piped, writer)
    }

    /// Reads up to the first line that matches.
    fn read_line_where(&mut self, matches: impl Fn(&Value) -> bool) -> Value {
        let mut line = String::new();
        loop {
            line.clear();
            assert!(self.out.read_line(&mut line).unwrap() > 0, "no such line");
            let value: Value = serde_json::from_str(&line).unwrap();
            if matches(&value) {
                return value;
            }
        }
    }
}

impl Drop for PipedNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn send_request(client: &Client, at: SocketAddr) -> u16 {
    let sent = client.send(
        Method::GET,
        at,
        "/nowhere",
        &[],
        Default::default(),
        MAX_WAIT,
    );
    sent.await.unwrap().status.as_u16()
}

/// Guards against log lines that are not JSON, and against responses that are not logged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_answer_leaves_a_json_line() {
    let (mut node, writer) = PipedNode::start().await;
    drop(writer);

    let status = send_request(&Client::default(), node.caller).await;

    let answered = node.read_line_where(|line| line["message"] == "entry: answered");
    assert_eq!(answered["status"], status);
    assert_eq!(answered["outcome"], "refused-not-run");
    assert!(answered["timestamp"].is_string());
}

/// Guards against refusals whose log lines lack the route, the service or the rank.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_names_route_service_and_rank() {
    let (mut node, writer) = PipedNode::start().await;
    drop(writer);
    let client = Client::default();
    let caller = node.caller;
    let route_in_force = || async {
        let sent = client.send(
            Method::GET,
            caller,
            "/stock",
            &[],
            Default::default(),
            MAX_WAIT,
        );
        support::reason(&sent.await.unwrap()) == "no-endpoint"
    };

    process::wait_until("the route is in force", MAX_WAIT, route_in_force)
        .await
        .unwrap();

    let refused = node.read_line_where(|line| line["reason"] == "no-endpoint");
    assert_eq!(refused["message"], "entry: answered");
    assert_eq!(refused["route"], "stock");
    assert_eq!(refused["service"], "courier");
    assert_eq!(refused["rank"], 0);
}

/// Guards against requests that block because nobody reads the standard output.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_standard_output_delays_no_request() {
    let (node, mut writer) = PipedNode::start().await;
    // Fills the pipe until the thread blocks; the thread ends when the pipe is closed.
    thread::spawn(move || while writer.write_all(&[b'\n'; 4096]).is_ok() {});
    let client = Client::default();

    for _ in 0..300 {
        let answered = tokio::time::timeout(MAX_WAIT, send_request(&client, node.caller)).await;
        assert!(answered.is_ok());
    }
    let id = node.child.id().to_string();
    let signalled = Command::new("kill").args(["-TERM", &id]).status().unwrap();

    assert!(signalled.success());
    let mut node = node;
    let ended = || {
        let ended = matches!(node.child.try_wait(), Ok(Some(_)));
        async move { ended }
    };
    process::wait_until("the node ends", MAX_WAIT, ended)
        .await
        .unwrap();
}
