//! A claim whose support was partly on a disk that was lost and repaired.

use crate::support::{Fault, Group, Message};
use shallothill_core::ids::KeeperId;
use shallothill_ledger::MemberStatus;

const LOST: KeeperId = KeeperId(1);
const LATE: KeeperId = KeeperId(3);

fn is_claim(m: &Message, gate: usize, keeper: KeeperId) -> bool {
    matches!(m, Message::Claim { to, gate: g, .. } if *to == keeper && *g == gate)
}

fn is_recovery(m: &Message) -> bool {
    matches!(m, Message::Recover { .. } | Message::RecoveryReply { .. })
}

/// Gate 0 is supported by a member that then loses its disk and recovers without that claim;
/// gate 1 is granted by the repaired member and another; then gate 0's claim reaches the third.
fn dispatches_around_a_repair(fault: Fault) -> usize {
    let mut group = Group::new(3, fault);
    group.start_claim();
    group.deliver_all(|m| is_claim(m, 0, LOST));
    group.deliver_all(|m| matches!(m, Message::ClaimReply { .. }));
    group.lose_disk(LOST);
    group.deliver_all(is_recovery);
    assert_eq!(group.status(LOST), MemberStatus::Ready);
    group.start_claim();
    group.deliver_all(|m| matches!(m, Message::Claim { to, gate: 1, .. } if *to != LATE));
    group.deliver_all(|m| matches!(m, Message::ClaimReply { .. }));
    group.deliver_all(|m| is_claim(m, 0, LATE));
    group.deliver_all(|m| matches!(m, Message::ClaimReply { .. }));
    group.dispatched
}

/// Guards against an answer that is counted although its disk was lost after it was given.
#[test]
fn holds_lost_disk_does_not_support_a_claim() {
    let dispatched = dispatches_around_a_repair(Fault::None);

    assert_eq!(dispatched, 1);
}

/// Guards against a scenario that would pass even if incarnations were ignored.
#[test]
fn ignoring_incarnations_dispatches_twice() {
    let dispatched = dispatches_around_a_repair(Fault::IgnoreIncarnations);

    assert_eq!(dispatched, 2);
}

/// Guards against a repair that counts while only one other member has answered.
#[test]
fn holds_recovery_waits_for_a_majority_of_others() {
    let mut group = Group::new(3, Fault::None);
    group.lose_disk(LOST);

    group.deliver_all(|m| match m {
        Message::Recover { to, .. } => *to == LATE,
        m => is_recovery(m),
    });

    assert_eq!(group.status(LOST), MemberStatus::Recovering);
}
