//! Runs the real command line.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use shallothill_testing::process;
use tokio::process::Command;

use crate::binaries;

/// `RETRY_SECONDS` is how long the command tries; no check depends on how much of it passes.
const RETRY_SECONDS: &str = "60";

/// `Submission` is one call of `shallothill submit`.
pub struct Submission<'a> {
    /// The admin address of the keeper that is asked.
    pub keeper: SocketAddr,
    /// The version that the text is based on.
    pub base: u64,
    /// The change id; also names the file.
    pub change_id: &'a str,
    /// The text.
    pub text: &'a str,
}

/// `Ended` is how a call ended.
#[derive(Debug)]
pub struct Ended {
    /// The exit code.
    pub code: Option<i32>,
    /// Standard output, then standard error.
    pub output: String,
    /// The accepted version, if there is one.
    pub version: Option<u64>,
}

impl Submission<'_> {
    /// `run` runs the command with its files in `dir`.
    pub async fn run(&self, dir: &Path, json: bool) -> Ended {
        let file = dir.join(format!("{}.yaml", self.change_id));
        fs::write(&file, self.text).unwrap();
        let mut command = Command::from(binaries::command("shallothill"));
        command.arg("submit").arg(&file).kill_on_drop(true);
        command.args(["--keeper", &self.keeper.to_string()]);
        command.args(["--base", &self.base.to_string()]);
        command.args(["--change-id", self.change_id, "--timeout", RETRY_SECONDS]);
        if json {
            command.arg("--json");
        }
        let limit = Duration::from_secs(90);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let child = process::without_spawns(|| command.spawn()).unwrap();
        let output = tokio::time::timeout(limit, child.wait_with_output()).await;
        let output = output.expect("the command did not end").unwrap();
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let value: Option<Value> = serde_json::from_str(&stdout).ok();
        Ended {
            code: output.status.code(),
            version: value.and_then(|v| v["version"].as_u64()),
            output: stdout + &String::from_utf8_lossy(&output.stderr),
        }
    }

    /// `accepted` runs the command and returns the version that it was accepted as.
    pub async fn accepted(&self, dir: &Path) -> u64 {
        let ended = self.run(dir, true).await;
        assert_eq!(ended.code, Some(0), "{ended:?}");
        ended.version.unwrap()
    }
}
