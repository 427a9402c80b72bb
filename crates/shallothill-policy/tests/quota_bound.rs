//! The bound on the requests of a caller over all nodes, in each sliding window of 5 s.

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;
use shallothill_policy::quota::CreditOptions;
use shallothill_testing::credit;
use shallothill_testing::credit::{Demand, Fleet, FleetOptions};

const CALLER: u64 = 7;
const SEEDS: std::ops::Range<u64> = 1..6;

fn fleet(seed: u64, loss_per_mille: u32) -> Fleet {
    Fleet::new(FleetOptions {
        seed,
        nodes: 75,
        keepers: 5,
        loss_per_mille,
        credit: CreditOptions::default(),
    })
}

/// Starts a fleet in which the caller sends `times` its rate to all nodes for 40 s.
fn overloaded(seed: u64, loss_per_mille: u32, quota: Quota, times: f64) -> Fleet {
    let mut fleet = fleet(seed, loss_per_mille);
    fleet.set_quota(CALLER, quota);
    fleet.add_demand(&Demand {
        caller: CALLER,
        rate: quota.limited_rate().unwrap().per_second() * times,
        nodes: (0, 75),
        time: (Millis(0), Millis(40_000)),
    });
    fleet
}

fn assert_bound(fleet: &Fleet, quota: &Quota, from: Millis, case: &str) {
    let admitted = fleet.record(CALLER).admitted;
    assert!(!admitted.is_empty(), "{case}");
    let excess = credit::worst_window_excess(&admitted, quota, from);
    assert!(excess <= 0.0, "{case}: {excess:.1} beyond the bound");
}

/// Guards against more requests than allowed, or far fewer, under a demand beyond the quota.
#[test]
fn holds_quota_under_excess() {
    for seed in SEEDS {
        for (thousandths, burst) in [(800, 0), (20_000, 5), (100_000, 0), (400_000, 300)] {
            let quota = credit::quota(thousandths, burst);
            for times in [1.5, 4.0] {
                let mut fleet = overloaded(seed, 0, quota, times);
                fleet.run_until(Millis(40_000));
                let case = format!("seed {seed}, {quota:?}, {times}");
                assert_bound(&fleet, &quota, Millis(0), &case);
                let expected = quota.limited_rate().unwrap().per_second() * 40.0;
                let admitted = fleet.record(CALLER).admitted.len() as f64;
                assert!(
                    admitted >= 0.9 * expected,
                    "{case}: {admitted} of {expected}"
                );
            }
        }
    }
}

/// Guards against tokens that are counted twice or forgotten when requests or replies are lost.
#[test]
fn holds_quota_with_lost_messages() {
    for seed in SEEDS {
        for loss in [50, 300] {
            let quota = credit::quota(100_000, 50);
            let mut fleet = overloaded(seed, loss, quota, 2.0);
            fleet.run_until(Millis(40_000));
            let case = format!("seed {seed}, loss {loss}");
            assert_bound(&fleet, &quota, Millis(0), &case);
        }
    }
}

/// Guards against nodes that get a full set of tokens again at each start.
#[test]
fn holds_quota_while_nodes_restart() {
    for seed in SEEDS {
        let quota = credit::quota(100_000, 100);
        let mut fleet = overloaded(seed, 0, quota, 2.0);
        for round in 0..30 {
            let at = Millis(3000 + round * 1000);
            (0..75).for_each(|node| fleet.restart_node(at, node));
        }
        fleet.run_until(Millis(40_000));
        assert_bound(&fleet, &quota, Millis(0), &format!("seed {seed}"));
    }
}

/// Guards against a keeper whose nodes use tokens that nobody counts after it has lost its state.
#[test]
fn holds_quota_while_keepers_restart() {
    for seed in SEEDS {
        let quota = credit::quota(100_000, 100);
        let mut fleet = overloaded(seed, 10, quota, 2.0);
        for round in 0..10 {
            let at = 5000 + round * 3000;
            let keeper = 1 + round as usize % 4;
            fleet.stop_keeper(Millis(at), keeper, Millis(at + 800));
        }
        fleet.run_until(Millis(40_000));
        assert_bound(&fleet, &quota, Millis(0), &format!("seed {seed}"));
    }
}

/// Guards against a new issuer that grants the tokens of the lost one again.
#[test]
fn holds_quota_when_the_issuer_is_lost() {
    for seed in SEEDS {
        for (thousandths, burst) in [(800, 0), (100_000, 100), (400_000, 300)] {
            let quota = credit::quota(thousandths, burst);
            // The demand begins late, so that the bucket of the first issuer is full.
            for idle_first in [false, true] {
                let mut fleet = overloaded(seed, 10, quota, if idle_first { 0.2 } else { 2.0 });
                fleet.add_demand(&Demand {
                    caller: CALLER,
                    rate: quota.limited_rate().unwrap().per_second() * 4.0,
                    nodes: (0, 75),
                    time: (Millis(14_500), Millis(30_000)),
                });
                fleet.stop_keeper(Millis(15_000), 0, Millis(17_000));
                fleet.elect_at(Millis(16_000), 1);
                fleet.stop_keeper(Millis(24_000), 1, Millis(26_000));
                fleet.elect_at(Millis(25_000), 2);
                fleet.run_until(Millis(40_000));
                let case = format!("seed {seed}, {quota:?}, {idle_first}");
                assert_bound(&fleet, &quota, Millis(0), &case);
            }
        }
    }
}

/// Guards against a new issuer that treats a caller as idle which used up its burst under the former
/// one.
#[test]
fn holds_quota_of_bursts_around_the_loss_of_the_issuer() {
    for seed in SEEDS {
        for pause in [2000, 3500, 4300, 8000, 9000] {
            let quota = credit::quota(40_000, 300);
            let mut fleet = fleet(seed, 0);
            fleet.set_quota(CALLER, quota);
            for start in [19_000, 19_000 + pause] {
                fleet.add_demand(&Demand {
                    caller: CALLER,
                    rate: 2000.0,
                    nodes: (0, 75),
                    time: (Millis(start), Millis(start + 500)),
                });
            }
            fleet.stop_keeper(Millis(19_600), 0, Millis(22_000));
            fleet.elect_at(Millis(20_000), 1);
            fleet.run_until(Millis(35_000));
            let case = format!("seed {seed}, pause {pause}");
            assert_bound(&fleet, &quota, Millis(0), &case);
            assert!(fleet.record(CALLER).admitted.len() > 300, "{case}");
        }
    }
}

/// Guards against nodes that go on with tokens of a time before they were cut off.
#[test]
fn holds_quota_in_a_partition() {
    for seed in SEEDS {
        let quota = credit::quota(100_000, 100);
        let mut fleet = overloaded(seed, 10, quota, 2.0);
        for second in [5, 9, 14, 22, 30] {
            fleet.run_until(Millis(second * 1000));
            (0..25).for_each(|node| fleet.cut_off(node, Millis(second * 1000 + 4000)));
        }
        fleet.run_until(Millis(40_000));
        assert_bound(&fleet, &quota, Millis(0), &format!("seed {seed}"));
        let refused = fleet.record(CALLER).no_credit.len();
        assert!(
            refused > 0,
            "seed {seed}: nodes without contact must refuse in the end"
        );
    }
}

/// Guards against tokens of a higher quota that outlive its end by more than 2.5 s.
#[test]
fn holds_a_lowered_quota() {
    for seed in SEEDS {
        let lowered = credit::quota(20_000, 10);
        let mut fleet = overloaded(seed, 10, credit::quota(200_000, 200), 0.5);
        fleet.change_quota(Millis(20_000), CALLER, 20_000, 10);
        fleet.run_until(Millis(40_000));
        assert_bound(&fleet, &lowered, Millis(22_500), &format!("seed {seed}"));
    }
}

/// Guards against a lowered quota that nodes cut off at the time of the change exceed for longer
/// than their tokens live.
#[test]
fn holds_a_lowered_quota_at_nodes_without_contact() {
    for seed in SEEDS {
        let lowered = credit::quota(20_000, 10);
        let mut fleet = overloaded(seed, 10, credit::quota(200_000, 200), 0.5);
        fleet.change_quota(Millis(20_000), CALLER, 20_000, 10);
        fleet.run_until(Millis(20_000));
        (0..25).for_each(|node| fleet.cut_off(node, Millis(30_000)));
        fleet.run_until(Millis(40_000));
        assert_bound(&fleet, &lowered, Millis(22_500), &format!("seed {seed}"));
    }
}
