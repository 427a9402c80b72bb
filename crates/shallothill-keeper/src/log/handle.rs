//! Calls to the driver of the config log.

use std::future;

use serde::Serialize;
use shallothill_core::ids::KeeperId;
use shallothill_replica::ReplicaStatus;
use tokio::sync::{mpsc, oneshot, watch};

use crate::config_state::{Change, Outcome};

/// `QUEUE_MAX` bounds the calls that wait for the driver.
const QUEUE_MAX: usize = 256;

/// `LogCallError` is why the log did not carry out a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogCallError {
    /// Another keeper orders the entries; nothing was done.
    NotPrimary(KeeperId),
    /// Nothing was done, or nothing is known; the change may be sent again with the same id.
    Unavailable(String),
}

/// `LogCommand` is a call to the driver.
#[derive(Debug)]
pub enum LogCommand {
    /// Puts a change into the log and answers once it is applied.
    Propose(Change, oneshot::Sender<Result<Outcome, LogCallError>>),
    /// Changes the members by one and answers once that is committed.
    ChangeMembers(Vec<KeeperId>, oneshot::Sender<Result<(), LogCallError>>),
    /// Answers once the applied state is current.
    Read(oneshot::Sender<Result<(), LogCallError>>),
}

/// `LogStatus` is a copy of the driver's main figures.
#[derive(Clone, Debug, Serialize)]
pub struct LogStatus {
    /// The primary, as far as known.
    pub primary: Option<KeeperId>,
    /// Whether a new group is being formed, or nothing is known yet.
    pub forming: bool,
    /// Whether the group was formed in this life of the process.
    pub formed: bool,
    /// Figures of the replica.
    pub replica: Option<ReplicaStatus>,
}

impl Default for LogStatus {
    fn default() -> Self {
        Self {
            primary: None,
            forming: true,
            formed: false,
            replica: None,
        }
    }
}

/// `LogHandle` passes calls to the driver; clones share it.
#[derive(Clone, Debug)]
pub struct LogHandle {
    tx: mpsc::Sender<LogCommand>,
    status: watch::Receiver<LogStatus>,
}

impl LogHandle {
    /// `new` returns a handle and the ends that the driver holds.
    pub fn new() -> (Self, mpsc::Receiver<LogCommand>, watch::Sender<LogStatus>) {
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let (status_tx, status) = watch::channel(LogStatus::default());
        (Self { tx, status }, rx, status_tx)
    }

    /// `propose` puts a change into the log and returns its outcome.
    ///
    /// Fails with a [`LogCallError`] on keepers other than the primary and without a quorum.
    pub async fn propose(&self, change: Change) -> Result<Outcome, LogCallError> {
        self.call(|tx| LogCommand::Propose(change, tx)).await
    }

    /// `read_barrier` returns once the applied state holds everything committed before the call.
    ///
    /// Fails with a [`LogCallError`] on keepers other than the primary and without a quorum.
    pub async fn read_barrier(&self) -> Result<(), LogCallError> {
        self.call(LogCommand::Read).await
    }

    /// `change_members` adds or removes one member.
    ///
    /// Fails with a [`LogCallError`] on keepers other than the primary, while another change is under
    /// way, and when too few of the new members answer.
    pub async fn change_members(&self, members: Vec<KeeperId>) -> Result<(), LogCallError> {
        self.call(|tx| LogCommand::ChangeMembers(members, tx)).await
    }

    /// `status` returns the driver's main figures.
    pub fn status(&self) -> LogStatus {
        self.status.borrow().clone()
    }

    /// `wait_for_other_primary` returns once a primary other than `former` is known.
    pub async fn wait_for_other_primary(&self, former: KeeperId) {
        let mut status = self.status.clone();
        let other = |s: &LogStatus| s.primary.is_some_and(|p| p != former);
        if status.wait_for(other).await.is_err() {
            // The driver has ended, so there will be no other primary in this process.
            future::pending::<()>().await;
        }
    }

    async fn call<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<Result<T, LogCallError>>) -> LogCommand,
    ) -> Result<T, LogCallError> {
        let stopping = || LogCallError::Unavailable("the keeper is stopping".to_owned());
        let (tx, rx) = oneshot::channel();
        self.tx.send(command(tx)).await.map_err(|_| stopping())?;
        rx.await.map_err(|_| stopping())?
    }
}
