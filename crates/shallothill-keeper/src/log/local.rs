//! A log of one keeper without a disk.

use std::sync::{Arc, Mutex};

use shallothill_core::ids::KeeperId;
use tokio::sync::{mpsc, watch};

use super::handle::{Command, LogStatus};
use crate::config_state::ConfigState;
use crate::keeper::lock;

/// `run` applies each change at once.
pub async fn run(
    me: KeeperId,
    state: Arc<Mutex<ConfigState>>,
    mut rx: mpsc::Receiver<Command>,
    status: watch::Sender<LogStatus>,
    applied: watch::Sender<()>,
) {
    status.send_replace(LogStatus {
        primary: Some(me),
        replica: serde_json::Value::Null,
    });
    while let Some(command) = rx.recv().await {
        match command {
            Command::Propose(change, tx) => {
                let outcome = lock(&state).apply(&change);
                applied.send_replace(());
                drop(tx.send(Ok(outcome)));
            }
            Command::Read(tx) => drop(tx.send(Ok(()))),
        }
    }
}
