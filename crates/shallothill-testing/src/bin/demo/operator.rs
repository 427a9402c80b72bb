//! Runs the `shallothill` command-line program as an operator would.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::Value;
use shallothill_wire::operator::StatusReply;
use tokio::process::Command;
use tokio::time;

use crate::Failure;

/// `IN_FORCE_TIMEOUT` bounds the wait for a configuration to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// `POLL_INTERVAL` is the time between two status queries.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// `Operator` runs `shallothill` commands against the keepers.
pub(crate) struct Operator {
    pub(crate) program: PathBuf,
    pub(crate) work: PathBuf,
    pub(crate) keepers: Vec<SocketAddr>,
}

impl Operator {
    /// `submit` submits `text` as a change of version `base` and returns the accepted version.
    pub(crate) async fn submit(&self, text: &str, base: u64) -> Result<u64, Failure> {
        let file = self.work.join(format!("submitted-on-{base}.yaml"));
        fs::write(&file, text)?;
        let file = file.to_string_lossy().into_owned();
        let reply = self
            .run_command(&["submit", &file, "--base", &base.to_string()])
            .await?;
        let version = reply.get("version").and_then(Value::as_u64);
        version.ok_or_else(|| format!("the keeper refused the submission: {reply}").into())
    }

    /// `status` queries the fleet status.
    pub(crate) async fn status(&self) -> Result<StatusReply, Failure> {
        Ok(serde_json::from_value(
            self.run_command(&["status"]).await?,
        )?)
    }

    /// `wait_in_force` waits until `nodes` nodes apply `version` and returns the elapsed time.
    /// Killed nodes are listed as behind until they are removed, so they must not be counted.
    pub(crate) async fn wait_in_force(
        &self,
        version: u64,
        nodes: usize,
    ) -> Result<Duration, Failure> {
        let start = Instant::now();
        loop {
            let status = self.status().await?;
            let in_force: u32 = status.data_centres.iter().map(|d| d.in_force).sum();
            if status.config_version.0 == version && in_force as usize >= nodes {
                return Ok(start.elapsed());
            }
            if start.elapsed() > IN_FORCE_TIMEOUT {
                let at = status.config_version;
                let message = format!(
                    "version {version} is in force on {in_force} of {nodes} nodes after \
                     {IN_FORCE_TIMEOUT:?}; the keeper is at version {at}: {status:?}"
                );
                return Err(message.into());
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn run_command(&self, args: &[&str]) -> Result<Value, Failure> {
        let mut command = Command::new(&self.program);
        command.args(args).arg("--json").kill_on_drop(true);
        for keeper in &self.keepers {
            command.arg("--keeper").arg(keeper.to_string());
        }
        let output = command.output().await?;
        if !output.status.success() {
            let text = [&output.stdout[..], &output.stderr[..]].concat();
            let text = String::from_utf8_lossy(&text).into_owned();
            return Err(format!("`shallothill {}` failed: {text}", args[0]).into());
        }
        Ok(serde_json::from_slice(&output.stdout)?)
    }
}
