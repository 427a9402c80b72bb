//! Claims under random schedules of crashes, lost disks, and lost, repeated and reordered messages.

use crate::support::{Fault, Simulation};
use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use shallothill_core::ids::KeeperId;

/// `SCHEDULE_COUNT` is the number of fixed seeds that each test runs.
const SCHEDULE_COUNT: u64 = 3000;

/// `SCHEDULE_BYTES` is the length of the random input of one schedule.
const SCHEDULE_BYTES: u64 = 2048;

fn choose_keeper(u: &mut Unstructured<'_>, ids: &[KeeperId]) -> arbitrary::Result<KeeperId> {
    Ok(*u.choose(ids)?)
}

fn random_step(u: &mut Unstructured<'_>, simulation: &mut Simulation) -> arbitrary::Result<()> {
    match u.int_in_range(0..=63)? {
        0..=1 if simulation.gate_count() < 6 => simulation.start_claim(),
        2 if simulation.gate_count() > 0 => {
            simulation.repeat_claim(u.choose_index(simulation.gate_count())?)
        }
        3 if simulation.gate_count() > 0 => {
            simulation.time_out_gate(u.choose_index(simulation.gate_count())?)
        }
        4 => simulation.crash(choose_keeper(u, simulation.keepers())?),
        5 => simulation.lose_disk(choose_keeper(u, simulation.keepers())?),
        6 => simulation.repeat_recovery(),
        7..=9 => simulation.sync(choose_keeper(u, simulation.keepers())?),
        kind if simulation.net.len() > 0 => {
            let i = u.choose_index(simulation.net.len())?;
            match kind {
                10..=11 => drop(simulation.net.take(i, false)),
                12..=15 => simulation.deliver(i, true),
                _ => simulation.deliver(i, false),
            }
        }
        _ => {}
    }
    Ok(())
}

/// Runs one schedule per seed and returns the first seed for which the key was dispatched twice.
fn first_seed_with_two_dispatches(size: u32, fault: Fault) -> Option<u64> {
    (0..SCHEDULE_COUNT)
        .map(|n| (n << 32) | SCHEDULE_BYTES)
        .find(|seed| {
            let mut dispatched = 0;
            arbtest::arbtest(|u| {
                let mut simulation = Simulation::new(size, fault);
                simulation.start_claim();
                while !u.is_empty() {
                    random_step(u, &mut simulation)?;
                }
                dispatched = simulation.dispatched;
                Ok(())
            })
            .seed(*seed)
            .run();
            dispatched > 1
        })
}

/// Guards against two gates that both dispatch a request, whatever is lost, repeated or reordered.
#[test]
fn holds_claim_granted_at_most_once() {
    for size in [3, 5] {
        let seed = first_seed_with_two_dispatches(size, Fault::None);

        assert!(
            seed.is_none(),
            "two dispatches in a group of {size}, seed {seed:x?}"
        );
    }
}

/// Shows that the schedules detect a reply that is sent before its record is durable.
#[test]
fn reply_before_sync_is_detected() {
    let seed = first_seed_with_two_dispatches(3, Fault::ReplyBeforeSync);

    assert!(seed.is_some());
}

/// Shows that the schedules detect a recovery from too few members.
#[test]
fn recovery_from_one_member_is_detected() {
    let seed = first_seed_with_two_dispatches(3, Fault::RecoverFromOne);

    assert!(seed.is_some());
}

/// Shows that the schedules detect the withdrawal of a dispatched claim.
#[test]
fn withdrawal_after_dispatch_is_detected() {
    let seed = first_seed_with_two_dispatches(3, Fault::WithdrawAfterDispatch);

    assert!(seed.is_some());
}
