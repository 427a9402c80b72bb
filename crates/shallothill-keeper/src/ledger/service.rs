//! The thread that owns the ledger member and answers in groups, each after one sync.

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

use super::command::Command;
use super::journal::Journal;
use crate::fatal::Fatal;

/// `QUEUE_MAX` bounds the calls that wait for the ledger's thread.
const QUEUE_MAX: usize = 4096;

/// `GROUP_MAX` bounds the calls that share one sync.
const GROUP_MAX: usize = 512;

/// `LedgerState` is a copy of the member's main figures for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct LedgerState {
    /// Whether the member supports claims.
    pub status: MemberStatus,
    /// The life of its data folder.
    pub incarnation: Incarnation,
    /// The members of its group.
    pub group: Vec<KeeperId>,
    /// Keys held.
    pub keys: usize,
    /// Groups of calls that were answered after one sync each.
    pub syncs: u64,
}

/// `LedgerHandle` passes calls to the ledger's thread; clones share it.
///
/// Each call returns `None` when the thread has ended.
#[derive(Clone, Debug)]
pub struct LedgerHandle {
    tx: mpsc::Sender<Command>,
    state: Arc<ArcSwap<LedgerState>>,
}

impl LedgerHandle {
    /// `start` runs `member` on a thread of its own, which ends when the last handle is dropped.
    pub fn start(member: LedgerMember, journal: Journal, fatal: Fatal) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let state = Arc::new(ArcSwap::from_pointee(state_of(&member, 0)));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            if let Err(e) = run(member, journal, rx, &shared) {
                fatal.report(format!(
                    "ledger: {e}; nothing more is acknowledged, check the disk before the next start"
                ));
            }
        });
        Self { tx, state }
    }

    /// `claim` supports a claim; the answer is durable.
    pub async fn claim(&self, req: ClaimRequest) -> Option<ClaimReply> {
        self.call(|tx| Command::Claim(req, tx)).await
    }

    /// `query` tells what the member holds for a key.
    pub async fn query(&self, key: IdempotencyKey) -> Option<ClaimReply> {
        self.call(|tx| Command::Query(key, tx)).await
    }

    /// `withdraw` frees a key; `false` asks to send the request again.
    pub async fn withdraw(&self, req: WithdrawRequest) -> Option<bool> {
        self.call(|tx| Command::Withdraw(req, tx)).await
    }

    /// `complete` stores how a request ended; `false` asks to send the request again.
    pub async fn complete(&self, req: CompleteRequest) -> Option<bool> {
        self.call(|tx| Command::Complete(req, tx)).await
    }

    /// `recover` answers another member that lost its disk.
    pub async fn recover(&self, req: RecoveryRequest) -> Option<RecoveryReply> {
        self.call(|tx| Command::Recover(req, tx)).await.flatten()
    }

    /// `restore` stores the records that make the member whole; returns when they are durable.
    pub async fn restore(&self, records: Vec<LedgerRecord>) -> Option<()> {
        self.call(|tx| Command::Restore(records, tx)).await
    }

    /// `form` makes the member of a new group whole; returns when that is durable.
    pub async fn form(&self, incarnation: Incarnation) -> Option<()> {
        self.call(|tx| Command::Form(incarnation, tx)).await
    }

    /// `forget` drops keys that are too old.
    pub async fn forget(&self) {
        // Without the thread there is nothing left to forget.
        let _ = self.tx.send(Command::Forget).await;
    }

    /// `state` returns the member's main figures.
    pub fn state(&self) -> Arc<LedgerState> {
        self.state.load_full()
    }

    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(command(tx)).await.ok()?;
        rx.await.ok()
    }
}

fn run(
    mut member: LedgerMember,
    mut journal: Journal,
    mut rx: mpsc::Receiver<Command>,
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
            if answers.len() < GROUP_MAX {
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
            journal.replace(&member.snapshot())?;
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
