//! Calls to the ledger's thread and their answers.

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;
use shallothill_ledger::{
    ClaimReply, ClaimRequest, CompleteRequest, LedgerMember, LedgerRecord, MemberStatus,
    RecoveryReply, RecoveryRequest, WithdrawRequest,
};
use tokio::sync::oneshot;

/// `Command` is a call to the ledger's thread.
pub(super) enum Command {
    Claim(ClaimRequest, oneshot::Sender<ClaimReply>),
    Query(IdempotencyKey, oneshot::Sender<ClaimReply>),
    Withdraw(WithdrawRequest, oneshot::Sender<bool>),
    Complete(CompleteRequest, oneshot::Sender<bool>),
    Recover(RecoveryRequest, oneshot::Sender<Option<RecoveryReply>>),
    Restore(Vec<LedgerRecord>, oneshot::Sender<()>),
    /// Makes a recovering member whole as a member of a new group.
    Form(Incarnation, oneshot::Sender<()>),
    Forget,
}

/// `Answer` is an answer that waits for the records before it to be durable.
pub(super) enum Answer {
    Claim(ClaimReply, oneshot::Sender<ClaimReply>),
    Done(bool, oneshot::Sender<bool>),
    Recover(
        Option<RecoveryReply>,
        oneshot::Sender<Option<RecoveryReply>>,
    ),
    Restored(oneshot::Sender<()>),
    Nothing,
}

impl Command {
    /// `run` carries the call out on `member` and returns the records to append.
    pub(super) fn run(
        self,
        member: &mut LedgerMember,
        now: UnixMillis,
    ) -> (Answer, Vec<LedgerRecord>) {
        match self {
            Self::Claim(req, tx) => {
                let (reply, records) = member.claim(now, &req);
                (Answer::Claim(reply, tx), records)
            }
            Self::Query(key, tx) => (Answer::Claim(member.query(now, &key), tx), Vec::new()),
            Self::Withdraw(req, tx) => {
                let records = member.withdraw(&req);
                (
                    Answer::Done(records.is_some(), tx),
                    records.unwrap_or_default(),
                )
            }
            Self::Complete(req, tx) => {
                let records = member.complete(&req);
                (
                    Answer::Done(records.is_some(), tx),
                    records.unwrap_or_default(),
                )
            }
            Self::Recover(req, tx) => match member.on_recovery_request(&req) {
                Some((reply, records)) => (Answer::Recover(Some(reply), tx), records),
                None => (Answer::Recover(None, tx), Vec::new()),
            },
            Self::Restore(records, tx) => (Answer::Restored(tx), restore(member, records)),
            Self::Form(incarnation, tx) => {
                let records = vec![LedgerRecord::Ready { incarnation }];
                (Answer::Restored(tx), restore(member, records))
            }
            Self::Forget => (Answer::Nothing, member.drop_old_keys(now)),
        }
    }
}

// A member that is whole already must not change its incarnation.
fn restore(member: &mut LedgerMember, records: Vec<LedgerRecord>) -> Vec<LedgerRecord> {
    if member.status() == MemberStatus::Ready {
        return Vec::new();
    }
    for record in &records {
        member.apply(record);
    }
    records
}

impl Answer {
    /// `send` passes the answer on; a caller that no longer waits is ignored.
    pub(super) fn send(self) {
        match self {
            Self::Claim(reply, tx) => drop(tx.send(reply)),
            Self::Done(done, tx) => drop(tx.send(done)),
            Self::Recover(reply, tx) => drop(tx.send(reply)),
            Self::Restored(tx) => drop(tx.send(())),
            Self::Nothing => {}
        }
    }
}
