//! Calls to the ledger's thread and their replies.

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;
use shallothill_ledger::{
    ClaimReply, ClaimRequest, CompleteRequest, LedgerMember, LedgerRecord, MemberStatus,
    RecoveryReply, RecoveryRequest, WithdrawRequest,
};
use tokio::sync::oneshot;

/// `LedgerCommand` is a call to the ledger's thread, with the channel for its reply if it has one.
pub(super) enum LedgerCommand {
    Claim(ClaimRequest, oneshot::Sender<ClaimReply>),
    Query(IdempotencyKey, oneshot::Sender<ClaimReply>),
    Withdraw(WithdrawRequest, oneshot::Sender<bool>),
    Complete(CompleteRequest, oneshot::Sender<bool>),
    Recover(RecoveryRequest, oneshot::Sender<Option<RecoveryReply>>),
    Restore(Vec<LedgerRecord>, oneshot::Sender<()>),
    /// Makes a recovering member ready, with the given incarnation, as a member of a new group.
    Form(Incarnation, oneshot::Sender<()>),
    ForgetOldKeys,
}

/// `PendingReply` is a reply that is sent once the records of its call are durable.
pub(super) enum PendingReply {
    Claim(ClaimReply, oneshot::Sender<ClaimReply>),
    Stored(bool, oneshot::Sender<bool>),
    Recover(
        Option<RecoveryReply>,
        oneshot::Sender<Option<RecoveryReply>>,
    ),
    Restored(oneshot::Sender<()>),
    None,
}

impl LedgerCommand {
    /// `run` executes the call on `member` and returns its reply and the records to append.
    pub(super) fn run(
        self,
        member: &mut LedgerMember,
        now: UnixMillis,
    ) -> (PendingReply, Vec<LedgerRecord>) {
        match self {
            Self::Claim(req, tx) => {
                let (reply, records) = member.claim(now, &req);
                (PendingReply::Claim(reply, tx), records)
            }
            Self::Query(key, tx) => (PendingReply::Claim(member.query(now, &key), tx), Vec::new()),
            Self::Withdraw(req, tx) => {
                let records = member.withdraw(&req);
                (
                    PendingReply::Stored(records.is_some(), tx),
                    records.unwrap_or_default(),
                )
            }
            Self::Complete(req, tx) => {
                let records = member.complete(&req);
                (
                    PendingReply::Stored(records.is_some(), tx),
                    records.unwrap_or_default(),
                )
            }
            Self::Recover(req, tx) => match member.on_recovery_request(&req) {
                Some((reply, records)) => (PendingReply::Recover(Some(reply), tx), records),
                None => (PendingReply::Recover(None, tx), Vec::new()),
            },
            Self::Restore(records, tx) => (
                PendingReply::Restored(tx),
                replay_if_recovering(member, records),
            ),
            Self::Form(incarnation, tx) => {
                let records = vec![LedgerRecord::Ready { incarnation }];
                (
                    PendingReply::Restored(tx),
                    replay_if_recovering(member, records),
                )
            }
            Self::ForgetOldKeys => (PendingReply::None, member.drop_old_keys(now)),
        }
    }
}

// Ignores the records if the member is ready: its incarnation must not change.
fn replay_if_recovering(
    member: &mut LedgerMember,
    records: Vec<LedgerRecord>,
) -> Vec<LedgerRecord> {
    if member.status() == MemberStatus::Ready {
        return Vec::new();
    }
    for record in &records {
        member.apply(record);
    }
    records
}

impl PendingReply {
    /// `send` sends the reply; it ignores a caller that no longer waits.
    pub(super) fn send(self) {
        match self {
            Self::Claim(reply, tx) => drop(tx.send(reply)),
            Self::Stored(stored, tx) => drop(tx.send(stored)),
            Self::Recover(reply, tx) => drop(tx.send(reply)),
            Self::Restored(tx) => drop(tx.send(())),
            Self::None => {}
        }
    }
}
