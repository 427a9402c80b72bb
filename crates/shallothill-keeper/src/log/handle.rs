//! Calls to the driver of the config log.

use std::future;

use serde::Serialize;
use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_replica::{ReplicaStatus, View};
use tokio::sync::{mpsc, oneshot, watch};

use crate::config_state::{Change, Outcome};

/// `QUEUE_MAX` bounds the calls that wait for the driver.
const QUEUE_MAX: usize = 256;

/// `LogCallError` tells why a call to the config log failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogCallError {
    /// The given keeper is the primary; the call had no effect.
    NotPrimary(KeeperId),
    /// The call had no effect, or its outcome is unknown; a change may be resent with the same id.
    /// The text is the reason.
    Unavailable(String),
}

/// `LogCommand` is a call to the driver.
#[derive(Debug)]
pub enum LogCommand {
    /// Proposes a change; answered once it is applied.
    Propose(Change, oneshot::Sender<Result<Outcome, LogCallError>>),
    /// Replaces the members by a list that differs by one; answered once that is committed.
    ChangeMembers(Vec<KeeperId>, oneshot::Sender<Result<(), LogCallError>>),
    /// Answered with the read lease, once the applied state holds everything committed before it.
    Lease(oneshot::Sender<Result<ReadLease, LogCallError>>),
    /// Answered once the applied state holds everything committed before the call.
    Read(oneshot::Sender<Result<(), LogCallError>>),
}

/// `ReadLease` is the time in which this keeper is the only primary of the config log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadLease {
    /// The view of the primary. Another keeper may have been the primary before the view.
    pub view: View,
    /// The end of the lease.
    pub until: Millis,
}

/// `LogStatus` describes the replica after its last step.
#[derive(Clone, Debug, Serialize)]
pub struct LogStatus {
    /// The primary; `None` while no primary is known.
    pub primary: Option<KeeperId>,
    /// Whether a new group is being formed; also true before the first status of the replica.
    pub forming: bool,
    /// Whether the group was formed since the process started.
    pub formed: bool,
    /// The replica's own status; `None` before the first one.
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

/// `LogHandle` sends calls to the driver; clones share one driver.
#[derive(Clone, Debug)]
pub struct LogHandle {
    tx: mpsc::Sender<LogCommand>,
    status: watch::Receiver<LogStatus>,
}

impl LogHandle {
    /// `new` returns a handle and the driver's ends of its channels.
    pub fn new() -> (Self, mpsc::Receiver<LogCommand>, watch::Sender<LogStatus>) {
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let (status_tx, status) = watch::channel(LogStatus::default());
        (Self { tx, status }, rx, status_tx)
    }

    /// `propose` appends a change to the log and returns its outcome once it is applied.
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

    /// `read_lease` returns the lease, which may have ended. The configuration is applied up to all
    /// changes that were acknowledged before the call.
    ///
    /// Fails with a [`LogCallError`] on keepers other than the primary.
    pub async fn read_lease(&self) -> Result<ReadLease, LogCallError> {
        self.call(LogCommand::Lease).await
    }

    /// `change_members` adds or removes one member.
    ///
    /// Fails with a [`LogCallError`] on keepers other than the primary, while another change is in
    /// progress, and when too few of the new members answer.
    pub async fn change_members(&self, members: Vec<KeeperId>) -> Result<(), LogCallError> {
        self.call(|tx| LogCommand::ChangeMembers(members, tx)).await
    }

    /// `status` returns a copy of the last status.
    pub fn status(&self) -> LogStatus {
        self.status.borrow().clone()
    }

    /// `wait_for_other_primary` returns once a primary other than `former` is known.
    pub async fn wait_for_other_primary(&self, former: KeeperId) {
        let mut status = self.status.clone();
        let has_other_primary = |s: &LogStatus| s.primary.is_some_and(|p| p != former);
        if status.wait_for(has_other_primary).await.is_err() {
            // The driver has ended, so this process will learn of no other primary.
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
