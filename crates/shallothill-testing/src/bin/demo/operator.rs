//! Acts as an operator with the real command line.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::Value;
use shallothill_wire::operator::StatusReply;
use tokio::process::Command;
use tokio::time;

use crate::Failure;

/// `IN_FORCE` bounds the wait for a configuration to be in force.
const IN_FORCE: Duration = Duration::from_secs(15);

/// `POLL` is the time between two looks at the status.
const POLL: Duration = Duration::from_millis(100);

/// `Operator` runs the command line against the keepers.
pub(crate) struct Operator {
    pub(crate) program: PathBuf,
    pub(crate) work: PathBuf,
    pub(crate) keepers: Vec<SocketAddr>,
}

impl Operator {
    /// `submit` submits `text` on `base` and returns the accepted version.
    pub(crate) async fn submit(&self, text: &str, base: u64) -> Result<u64, Failure> {
        let file = self.work.join(format!("submitted-on-{base}.yaml"));
        fs::write(&file, text)?;
        let file = file.to_string_lossy().into_owned();
        let reply = self
            .call(&["submit", &file, "--base", &base.to_string()])
            .await?;
        let version = reply.get("version").and_then(Value::as_u64);
        version.ok_or_else(|| format!("the submission was refused: {reply}").into())
    }

    /// `status` returns the state of the fleet.
    pub(crate) async fn status(&self) -> Result<StatusReply, Failure> {
        Ok(serde_json::from_value(self.call(&["status"]).await?)?)
    }

    /// `wait_in_force` waits until `nodes` nodes act on `version`; nodes that were killed are
    /// listed as behind until they are removed. It returns how long that took.
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
            if start.elapsed() > IN_FORCE {
                let at = status.config_version;
                let message = format!(
                    "version {version} is in force on {in_force} of {nodes} nodes after \
                     {IN_FORCE:?}; the keeper is at version {at}: {status:?}"
                );
                return Err(message.into());
            }
            time::sleep(POLL).await;
        }
    }

    async fn call(&self, args: &[&str]) -> Result<Value, Failure> {
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
