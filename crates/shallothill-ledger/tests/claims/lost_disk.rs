//! Claims that a member accepted before it lost its disk and recovered.

use crate::support::{Fault, Message, Simulation};
use shallothill_core::ids::KeeperId;
use shallothill_ledger::MemberStatus;

const LOST_DISK: KeeperId = KeeperId(1);
const DELAYED: KeeperId = KeeperId(3);

fn is_claim_of(m: &Message, gate: usize, keeper: KeeperId) -> bool {
    matches!(m, Message::Claim { to, gate: g, .. } if *to == keeper && *g == gate)
}

fn is_recovery(m: &Message) -> bool {
    matches!(m, Message::Recover { .. } | Message::RecoveryReply { .. })
}

/// A member accepts gate 0's claim, loses its disk and recovers without that claim. It then accepts
/// gate 1's claim together with a second member, and gate 0's claim reaches the third member.
fn dispatches_with_lost_disk(fault: Fault) -> usize {
    let mut simulation = Simulation::new(3, fault);
    simulation.start_claim();
    simulation.deliver_all(|m| is_claim_of(m, 0, LOST_DISK));
    simulation.deliver_all(|m| matches!(m, Message::ClaimReply { .. }));
    simulation.lose_disk(LOST_DISK);
    simulation.deliver_all(is_recovery);
    assert_eq!(simulation.status(LOST_DISK), MemberStatus::Ready);
    simulation.start_claim();
    simulation.deliver_all(|m| matches!(m, Message::Claim { to, gate: 1, .. } if *to != DELAYED));
    simulation.deliver_all(|m| matches!(m, Message::ClaimReply { .. }));
    simulation.deliver_all(|m| is_claim_of(m, 0, DELAYED));
    simulation.deliver_all(|m| matches!(m, Message::ClaimReply { .. }));
    simulation.dispatched
}

/// Guards against counting a member's reply after the member has lost its disk.
#[test]
fn holds_lost_disk_does_not_support_a_claim() {
    let dispatched = dispatches_with_lost_disk(Fault::None);

    assert_eq!(dispatched, 1);
}

/// Shows that the scenario above detects a gate that ignores incarnations.
#[test]
fn ignoring_incarnations_dispatches_twice() {
    let dispatched = dispatches_with_lost_disk(Fault::IgnoreIncarnations);

    assert_eq!(dispatched, 2);
}

/// Guards against a recovery that ends when only one other member has replied.
#[test]
fn holds_recovery_waits_for_a_majority_of_others() {
    let mut simulation = Simulation::new(3, Fault::None);
    simulation.lose_disk(LOST_DISK);

    simulation.deliver_all(|m| match m {
        Message::Recover { to, .. } => *to == DELAYED,
        m => is_recovery(m),
    });

    assert_eq!(simulation.status(LOST_DISK), MemberStatus::Recovering);
}
