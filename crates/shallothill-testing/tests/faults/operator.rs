//! Runs the `shallothill` command-line program.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use shallothill_testing::process;
use tokio::process::Command;

use crate::binaries;

/// `RETRY_SECONDS` is the time for which the command retries; no check depends on how much of it
/// elapses.
const RETRY_SECONDS: &str = "60";

/// `Submission` holds the arguments of one `shallothill submit` command.
pub struct Submission<'a> {
    /// The admin address of the keeper that receives the submission.
    pub keeper: SocketAddr,
    /// The version that the text is based on.
    pub base: u64,
    /// The change id, which also names the configuration file.
    pub change_id: &'a str,
    /// The configuration text.
    pub text: &'a str,
}

/// `CommandResult` holds the exit code and the output of a command.
#[derive(Debug)]
pub struct CommandResult {
    /// The exit code, or `None` if a signal ended the command.
    pub code: Option<i32>,
    /// Standard output, then standard error.
    pub output: String,
    /// The accepted version from the JSON output, if there is one.
    pub version: Option<u64>,
}

impl Submission<'_> {
    /// `run` writes the configuration file into `dir` and runs the command, with a timeout of 90 s.
    pub async fn run(&self, dir: &Path, json: bool) -> CommandResult {
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
        let timeout = Duration::from_secs(90);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let child = process::without_spawns(|| command.spawn()).unwrap();
        let output = tokio::time::timeout(timeout, child.wait_with_output()).await;
        let output = output.expect("the command did not end").unwrap();
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let value: Option<Value> = serde_json::from_str(&stdout).ok();
        CommandResult {
            code: output.status.code(),
            version: value.and_then(|v| v["version"].as_u64()),
            output: stdout + &String::from_utf8_lossy(&output.stderr),
        }
    }

    /// `run_accepted` runs the command and returns the accepted version; it panics on a refusal.
    pub async fn run_accepted(&self, dir: &Path) -> u64 {
        let result = self.run(dir, true).await;
        assert_eq!(result.code, Some(0), "{result:?}");
        result.version.unwrap()
    }
}
