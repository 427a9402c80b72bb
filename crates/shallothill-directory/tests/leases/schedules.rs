//! Leases under random schedules of losses, delays, repeats and restarts.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use shallothill_core::time::Millis;
use shallothill_directory::{LeaseOptions, LeaseTable};

use crate::support::{KEEPERS, Network, World, holder, keepers};

// The low half of a seed is the number of random bytes, the high half starts the generator.
const SEEDS: [u64; 24] = {
    let mut seeds = [0; 24];
    let mut i = 0;
    while i < 24 {
        seeds[i] = (0x9e37_79b9 + i as u64 * 7919) << 32 | 0x2_0000;
        i += 1;
    }
    seeds
};

fn disturb(u: &mut Unstructured<'_>, w: &mut World) -> Result<()> {
    let i = u.choose_index(w.holders.len())?;
    match u.int_in_range(0..=59)? {
        0..=9 => w.holders[i].request_lease(),
        10..=13 => {
            if let Some(release) = w.holders[i].release_lease() {
                w.send_release(u, &release)?;
            }
        }
        14 => {
            let k = u.choose_index(KEEPERS as usize)?;
            w.members[k] = LeaseTable::new(keepers()[k], w.now, w.member_options.clone());
        }
        // The gate's process starts again; incarnations grow like wall-clock milliseconds.
        15 => w.holders[i] = holder(i, w.now.0),
        _ => {}
    }
    Ok(())
}

/// Returns the most endpoints that were ejected at a time, and the budget.
fn explore(u: &mut Unstructured<'_>, options: LeaseOptions) -> Result<(usize, usize)> {
    let network = Network {
        lost: u.int_in_range(0..=3)?,
        repeated: u.int_in_range(0..=3)?,
        longest_delay_ms: *u.choose(&[100, 1000, 20_000])?,
    };
    let budget = u.int_in_range(0..=2)?;
    let mut w = World::with(4, budget, network, options);
    let mut most = 0;
    for _ in 0..1200 {
        disturb(u, &mut w)?;
        w.step(u)?;
        most = most.max(w.holding());
    }
    Ok((most, budget as usize))
}

/// Guards against more ejections than the budget allows: no loss, delay, repeat or restart lets
/// two endpoints hold one token.
#[test]
fn holds_ejection_floor() {
    for seed in SEEDS {
        arbtest(|u| {
            let (most, budget) = explore(u, LeaseOptions::default())?;
            assert!(most <= budget, "{most} ejected under a budget of {budget}");
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Guards against an exploration that would pass anything: keepers whose grants end before the
/// holders stop must be caught by it.
#[test]
fn exploration_catches_grants_that_end_early() {
    let mut broken = 0;
    for seed in SEEDS {
        arbtest(|u| {
            let options = LeaseOptions {
                grant_duration: Duration::from_secs(1),
                ..LeaseOptions::default()
            };
            let (most, budget) = explore(u, options)?;
            broken += usize::from(most > budget);
            Ok(())
        })
        .seed(seed)
        .run();
    }
    assert!(broken > 0, "no schedule broke the budget");
}

/// Guards against contenders that block each other for ever: with a keeper lost, three endpoints
/// that each hold one grant must still agree on the one token.
#[test]
fn contenders_agree_with_a_keeper_lost() {
    for seed in SEEDS {
        arbtest(|u| {
            let network = Network {
                lost: 0,
                repeated: 0,
                longest_delay_ms: 40,
            };
            let mut w = World::new(3, 1, network);
            w.cut[2] = true;
            w.now = Millis(10_000);
            w.holders.iter_mut().for_each(|h| h.request_lease());
            let deadline = w.now + Duration::from_secs(40);
            while w.holding() == 0 {
                w.step(u)?;
                assert!(w.now < deadline, "nobody holds the token");
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Guards against a sick endpoint that stays in service although the budget has room.
#[test]
fn every_contender_gets_a_token_when_there_are_enough() {
    for seed in SEEDS {
        arbtest(|u| {
            let network = Network {
                lost: 1,
                repeated: 1,
                longest_delay_ms: 60,
            };
            let mut w = World::new(4, 4, network);
            w.now = Millis(10_000);
            w.holders.iter_mut().for_each(|h| h.request_lease());
            let deadline = w.now + Duration::from_secs(60);
            while w.holding() < 4 {
                w.step(u)?;
                assert!(w.now < deadline, "{} of 4 hold a token", w.holding());
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
