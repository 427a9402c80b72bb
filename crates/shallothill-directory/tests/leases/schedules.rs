//! Leases under random schedules of lost, delayed and repeated messages and of restarts.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use shallothill_core::time::Millis;
use shallothill_directory::{LeaseOptions, LeaseTable};

use crate::support::{KEEPER_COUNT, NetworkFaults, Simulation, holder, keepers};

// The low half of a seed is the number of random bytes; the high half seeds the generator.
const SEEDS: [u64; 24] = {
    let mut seeds = [0; 24];
    let mut i = 0;
    while i < 24 {
        seeds[i] = (0x9e37_79b9 + i as u64 * 7919) << 32 | 0x2_0000;
        i += 1;
    }
    seeds
};

fn random_event(u: &mut Unstructured<'_>, sim: &mut Simulation) -> Result<()> {
    let i = u.choose_index(sim.holders.len())?;
    match u.int_in_range(0..=59)? {
        0..=9 => sim.holders[i].request_lease(),
        10..=13 => {
            if let Some(release) = sim.holders[i].release_lease() {
                sim.send_release(u, &release)?;
            }
        }
        14 => {
            let k = u.choose_index(KEEPER_COUNT as usize)?;
            sim.tables[k] = LeaseTable::new(keepers()[k], sim.now, sim.table_options.clone());
        }
        // The gate's process restarts; the clock's milliseconds serve as its incarnation.
        15 => sim.holders[i] = holder(i, sim.now.0),
        _ => {}
    }
    Ok(())
}

/// Runs one random schedule. Returns the largest number of endpoints that were ejected at the same
/// time, and the budget.
fn run_schedule(u: &mut Unstructured<'_>, options: LeaseOptions) -> Result<(usize, usize)> {
    let faults = NetworkFaults {
        lost_tenths: u.int_in_range(0..=3)?,
        repeated_tenths: u.int_in_range(0..=3)?,
        max_delay_ms: *u.choose(&[100, 1000, 20_000])?,
    };
    let budget = u.int_in_range(0..=2)?;
    let mut sim = Simulation::with_options(4, budget, faults, options);
    let mut max_ejected = 0;
    for _ in 0..1200 {
        random_event(u, &mut sim)?;
        sim.step(u)?;
        max_ejected = max_ejected.max(sim.holding_count());
    }
    Ok((max_ejected, budget as usize))
}

/// Guards against more ejections than the budget allows when messages are lost, delayed or
/// repeated, or when keepers or gates restart.
#[test]
fn holds_ejection_floor() {
    for seed in SEEDS {
        arbtest(|u| {
            let (max_ejected, budget) = run_schedule(u, LeaseOptions::default())?;
            assert!(
                max_ejected <= budget,
                "{max_ejected} ejected under a budget of {budget}"
            );
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Shows that the schedules detect keepers whose grants end before the holders' leases.
#[test]
fn schedules_detect_grants_that_end_early() {
    let mut exceeded = 0;
    for seed in SEEDS {
        arbtest(|u| {
            let options = LeaseOptions {
                grant_duration: Duration::from_secs(1),
                ..LeaseOptions::default()
            };
            let (max_ejected, budget) = run_schedule(u, options)?;
            exceeded += usize::from(max_ejected > budget);
            Ok(())
        })
        .seed(seed)
        .run();
    }
    assert!(exceeded > 0, "no schedule exceeded the budget");
}

/// Guards against holders that block each other for ever: with one keeper unreachable, the grants
/// of the others are split between three endpoints that request the same token.
#[test]
fn one_of_several_holders_gets_the_token_without_one_keeper() {
    for seed in SEEDS {
        arbtest(|u| {
            let faults = NetworkFaults {
                lost_tenths: 0,
                repeated_tenths: 0,
                max_delay_ms: 40,
            };
            let mut sim = Simulation::new(3, 1, faults);
            sim.unreachable[2] = true;
            sim.now = Millis(10_000);
            sim.holders.iter_mut().for_each(|h| h.request_lease());
            let deadline = sim.now + Duration::from_secs(40);
            while sim.holding_count() == 0 {
                sim.step(u)?;
                assert!(sim.now < deadline, "no endpoint holds the token");
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Guards against a sick endpoint that stays in service although the budget has a token left.
#[test]
fn every_holder_gets_a_token_when_the_budget_suffices() {
    for seed in SEEDS {
        arbtest(|u| {
            let faults = NetworkFaults {
                lost_tenths: 1,
                repeated_tenths: 1,
                max_delay_ms: 60,
            };
            let mut sim = Simulation::new(4, 4, faults);
            sim.now = Millis(10_000);
            sim.holders.iter_mut().for_each(|h| h.request_lease());
            let deadline = sim.now + Duration::from_secs(60);
            while sim.holding_count() < 4 {
                sim.step(u)?;
                assert!(
                    sim.now < deadline,
                    "{} of 4 hold a token",
                    sim.holding_count()
                );
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
