//! The thread that owns the ledger member; it answers calls in batches with one sync each.

use std::sync::Arc;
use std::thread;

use arc_swap::ArcSwap;
use serde::Serialize;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_ledger::{
    ClaimReply, ClaimRequest, CompleteRequest, LedgerMember, LedgerRecord, MemberStatus,
    RecoveryReply, RecoveryRequest, WithdrawRequest,
};
use shallothill_runtime::clock;
use tokio::sync::{mpsc, oneshot};

use super::command::LedgerCommand;
use super::journal::Journal;
use crate::fatal::Fatal;

/// `QUEUE_MAX` bounds the calls that wait for the ledger's thread.
const QUEUE_MAX: usize = 4096;

/// `BATCH_MAX` bounds the calls that share one sync.
const BATCH_MAX: usize = 512;

/// `LedgerState` describes the ledger member for dumps and metrics.
#[derive(Clone, Debug, Serialize)]
pub struct LedgerState {
    /// Whether the member is ready, so that it supports claims, or recovering.
    pub status: MemberStatus,
    /// The incarnation of its data folder.
    pub incarnation: Incarnation,
    /// The members of its ledger group.
    pub group: Vec<KeeperId>,
    /// Number of keys held.
    pub keys: usize,
    /// Number of syncs since the process started.
    pub syncs: u64,
}

/// `LedgerHandle` sends calls to the ledger's thread; clones share one thread.
///
/// Each call returns `None` when the thread has ended.
#[derive(Clone, Debug)]
pub struct LedgerHandle {
    tx: mpsc::Sender<LedgerCommand>,
    state: Arc<ArcSwap<LedgerState>>,
}

impl LedgerHandle {
    /// `start` spawns a thread that owns `member`; it ends when the last handle is dropped.
    pub fn start(member: LedgerMember, journal: Journal, fatal: Fatal) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let state = Arc::new(ArcSwap::from_pointee(state_of(&member, 0)));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            if let Err(e) = run(member, journal, rx, &shared) {
                fatal.report(format!(
                    "ledger: {e}; nothing more is acknowledged; check the disk before the next \
                     start"
                ));
            }
        });
        Self { tx, state }
    }

    /// `claim` asks the member to support a claim; the reply is sent once it is durable.
    pub async fn claim(&self, req: ClaimRequest) -> Option<ClaimReply> {
        self.call(|tx| LedgerCommand::Claim(req, tx)).await
    }

    /// `query` returns what the member holds for a key, without claiming it.
    pub async fn query(&self, key: IdempotencyKey) -> Option<ClaimReply> {
        self.call(|tx| LedgerCommand::Query(key, tx)).await
    }

    /// `withdraw` withdraws a claim; `false` means that the caller must retry.
    pub async fn withdraw(&self, req: WithdrawRequest) -> Option<bool> {
        self.call(|tx| LedgerCommand::Withdraw(req, tx)).await
    }

    /// `complete` stores the completion of a request; `false` means that the caller must retry.
    pub async fn complete(&self, req: CompleteRequest) -> Option<bool> {
        self.call(|tx| LedgerCommand::Complete(req, tx)).await
    }

    /// `recover` returns a page of records for another member that lost its disk; `None` also while
    /// this member is recovering.
    pub async fn recover(&self, req: RecoveryRequest) -> Option<RecoveryReply> {
        self.call(|tx| LedgerCommand::Recover(req, tx))
            .await
            .flatten()
    }

    /// `restore` stores the records that make the member ready; it returns once they are durable.
    pub async fn restore(&self, records: Vec<LedgerRecord>) -> Option<()> {
        self.call(|tx| LedgerCommand::Restore(records, tx)).await
    }

    /// `form` makes the member of a new group ready; it returns once that is durable.
    pub async fn form(&self, incarnation: Incarnation) -> Option<()> {
        self.call(|tx| LedgerCommand::Form(incarnation, tx)).await
    }

    /// `forget_old_keys` drops the keys whose retention has ended.
    pub async fn forget_old_keys(&self) {
        // When the thread has ended, there are no keys to drop.
        let _ = self.tx.send(LedgerCommand::ForgetOldKeys).await;
    }

    /// `state` returns the state after the last batch of calls.
    pub fn state(&self) -> Arc<LedgerState> {
        self.state.load_full()
    }

    async fn call<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> LedgerCommand,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(command(tx)).await.ok()?;
        rx.await.ok()
    }
}

fn run(
    mut member: LedgerMember,
    mut journal: Journal,
    mut rx: mpsc::Receiver<LedgerCommand>,
    state: &ArcSwap<LedgerState>,
) -> shallothill_storage::Result<()> {
    let mut syncs = 0;
    while let Some(first) = rx.blocking_recv() {
        let mut answers = Vec::new();
        let mut appended = false;
        let mut next = Some(first);
        while let Some(command) = next.take() {
            let (answer, records) = command.run(&mut member, clock::now());
            for record in &records {
                journal.append(record)?;
                appended = true;
            }
            answers.push(answer);
            if answers.len() < BATCH_MAX {
                next = rx.try_recv().ok();
            }
        }
        if appended {
            journal.sync()?;
            syncs += 1;
        }
        for answer in answers {
            answer.send();
        }
        if journal.wants_snapshot() {
            journal.replace_with_snapshot(&member.snapshot())?;
        }
        state.store(Arc::new(state_of(&member, syncs)));
    }
    Ok(())
}

fn state_of(member: &LedgerMember, syncs: u64) -> LedgerState {
    LedgerState {
        status: member.status(),
        incarnation: member.incarnation(),
        group: member.group().to_vec(),
        keys: member.len(),
        syncs,
    }
}
