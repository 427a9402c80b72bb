//! Claims under crashes, lost disks, and messages that are lost, repeated and reordered.

use crate::support::{Fault, Group};
use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use shallothill_core::ids::KeeperId;

/// `SCHEDULES` is the number of fixed seeds that each property runs.
const SCHEDULES: u64 = 3000;

/// `SCHEDULE_BYTES` is the length of the random input of one schedule.
const SCHEDULE_BYTES: u64 = 2048;

fn pick(u: &mut Unstructured<'_>, ids: &[KeeperId]) -> arbitrary::Result<KeeperId> {
    Ok(*u.choose(ids)?)
}

fn step(u: &mut Unstructured<'_>, group: &mut Group) -> arbitrary::Result<()> {
    match u.int_in_range(0..=63)? {
        0..=1 if group.gates() < 6 => group.start_claim(),
        2 if group.gates() > 0 => group.repeat_claim(u.choose_index(group.gates())?),
        3 if group.gates() > 0 => group.final_outcome(u.choose_index(group.gates())?),
        4 => group.crash(pick(u, group.ids())?),
        5 => group.lose_disk(pick(u, group.ids())?),
        6 => group.repeat_recovery(),
        7..=9 => group.sync(pick(u, group.ids())?),
        kind if group.net.len() > 0 => {
            let i = u.choose_index(group.net.len())?;
            match kind {
                10..=11 => drop(group.net.take(i, false)),
                12..=15 => group.deliver(i, true),
                _ => group.deliver(i, false),
            }
        }
        _ => {}
    }
    Ok(())
}

/// Runs one schedule per seed and returns the first seed in which a key was dispatched twice.
fn first_doubled(size: u32, fault: Fault) -> Option<u64> {
    (0..SCHEDULES)
        .map(|n| (n << 32) | SCHEDULE_BYTES)
        .find(|seed| {
            let mut dispatched = 0;
            arbtest::arbtest(|u| {
                let mut group = Group::new(size, fault);
                group.start_claim();
                while !u.is_empty() {
                    step(u, &mut group)?;
                }
                dispatched = group.dispatched;
                Ok(())
            })
            .seed(*seed)
            .run();
            dispatched > 1
        })
}

/// Guards against two gates that both run a request, whatever is lost, repeated or reordered.
#[test]
fn holds_claim_granted_at_most_once() {
    for size in [3, 5] {
        let seed = first_doubled(size, Fault::None);

        assert!(
            seed.is_none(),
            "doubled in a group of {size}, seed {seed:x?}"
        );
    }
}

/// Guards against schedules that are too tame to notice a reply before the record is durable.
#[test]
fn reply_before_sync_is_noticed() {
    let seed = first_doubled(3, Fault::ReplyBeforeSync);

    assert!(seed.is_some());
}

/// Guards against schedules that are too tame to notice a repair from too few members.
#[test]
fn recovery_from_one_member_is_noticed() {
    let seed = first_doubled(3, Fault::RecoverFromOne);

    assert!(seed.is_some());
}

/// Guards against schedules that are too tame to notice a withdrawal of a dispatched claim.
#[test]
fn withdrawal_after_dispatch_is_noticed() {
    let seed = first_doubled(3, Fault::WithdrawAfterDispatch);

    assert!(seed.is_some());
}
