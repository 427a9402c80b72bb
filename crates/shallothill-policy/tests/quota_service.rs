//! Callers within their quota are served, at whichever nodes they are.

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;
use shallothill_policy::quota::CreditOptions;
use shallothill_testing::credit;
use shallothill_testing::credit::{CallerRecord, Demand, Fleet, FleetOptions};

const SEEDS: std::ops::Range<u64> = 1..6;

/// The usual traffic of a caller is its rate divided by this.
const USUAL: f64 = 1.6;

/// A new issuer saves up less in its first 8 s; the tests of callers in steady state begin later.
const STEADY_MS: u64 = 9000;

fn fleet(seed: u64) -> Fleet {
    Fleet::new(FleetOptions {
        seed,
        nodes: 75,
        keepers: 5,
        loss_per_mille: 0,
        credit: CreditOptions::default(),
    })
}

fn add_usual_demand(
    fleet: &mut Fleet,
    caller: u64,
    quota: Quota,
    nodes: (usize, usize),
    time: (u64, u64),
) {
    fleet.set_quota(caller, quota);
    fleet.add_demand(&Demand {
        caller,
        rate: quota.limited_rate().unwrap().per_second() / USUAL,
        nodes,
        time: (Millis(time.0), Millis(time.1)),
    });
}

/// Small callers send more than their quota for a few seconds now and then.
fn assert_served(record: &CallerRecord, quota: &Quota, case: &str) {
    let refused = record.refused_within_quota(quota);
    let all = record.requests();
    assert_eq!(refused, 0, "{case}: refused within the quota, of {all}");
}

/// Guards against a large caller within its quota that is refused, or waits for most requests.
#[test]
fn serves_a_large_caller() {
    for seed in SEEDS {
        for (thousandths, burst) in [(100_000, 100), (400_000, 400), (100_000, 0)] {
            let quota = credit::quota(thousandths, burst);
            let mut fleet = fleet(seed);
            add_usual_demand(&mut fleet, 1, quota, (0, 75), (STEADY_MS, 49_000));
            fleet.run_until(Millis(51_000));
            let record = fleet.record(1);
            assert_served(&record, &quota, &format!("seed {seed}, {quota:?}"));
            assert!(record.waited_max_ms < 500, "{} ms", record.waited_max_ms);
        }
    }
}

/// Guards against small callers that are refused, because their tokens lie at other nodes.
#[test]
fn serves_a_small_caller_at_any_node() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        let quota = credit::quota(800, 5);
        for caller in 0..40 {
            add_usual_demand(&mut fleet, caller, quota, (0, 75), (STEADY_MS, 129_000));
        }
        fleet.run_until(Millis(131_000));
        for caller in 0..40 {
            assert_served(
                &fleet.record(caller),
                &quota,
                &format!("seed {seed}, {caller}"),
            );
        }
    }
}

/// Guards against a caller that is refused after it moved to other nodes.
#[test]
fn serves_a_caller_that_moves() {
    for seed in SEEDS {
        let quota = credit::quota(100_000, 100);
        let mut fleet = fleet(seed);
        for (i, nodes) in [(0, 5), (40, 10), (70, 5), (0, 75), (30, 1)]
            .iter()
            .enumerate()
        {
            let start = STEADY_MS + i as u64 * 8000;
            add_usual_demand(&mut fleet, 1, quota, *nodes, (start, start + 8000));
        }
        fleet.run_until(Millis(51_000));
        assert_served(&fleet.record(1), &quota, &format!("seed {seed}"));
    }
}

/// Guards against nodes that stop serving as soon as they lose their keepers.
#[test]
fn serves_nodes_without_contact_for_a_while() {
    for seed in SEEDS {
        let quota = credit::quota(100_000, 400);
        let mut fleet = fleet(seed);
        add_usual_demand(&mut fleet, 1, quota, (0, 10), (STEADY_MS, 30_000));
        fleet.run_until(Millis(20_000));
        (0..5).for_each(|node| fleet.cut_off(node, Millis(21_000)));
        fleet.run_until(Millis(32_000));
        let record = fleet.record(1);
        let share = record.refused_share();
        assert!(share < 0.02, "seed {seed}: {share}");
    }
}

/// Guards against a new issuer that refuses callers within their quota. A few requests of a burst
/// right after its start may be refused, since tokens of the former issuer may be in use.
#[test]
fn serves_while_the_issuer_changes() {
    check_change_of_issuer(SEEDS);
}

/// Guards against the same with seeds that refuse a large caller more often than allowed.
#[test]
fn serves_a_large_caller_while_the_issuer_changes() {
    check_change_of_issuer([11, 16, 17, 24]);
}

fn check_change_of_issuer(seeds: impl IntoIterator<Item = u64>) {
    let small_quota = credit::quota(800, 5);
    let large_quota = credit::quota(100_000, 100);
    let (mut refused, mut requests) = (0, 0);
    for seed in seeds {
        let mut fleet = fleet(seed);
        add_usual_demand(&mut fleet, 1, large_quota, (0, 75), (STEADY_MS, 40_000));
        for caller in 10..30 {
            add_usual_demand(
                &mut fleet,
                caller,
                small_quota,
                (0, 75),
                (STEADY_MS, 40_000),
            );
        }
        fleet.stop_keeper(Millis(20_000), 0, Millis(22_000));
        fleet.elect_at(Millis(21_000), 1);
        fleet.run_until(Millis(42_000));
        let large = fleet.record(1);
        let share = large.refused_share();
        assert!(share < 0.01, "seed {seed}: {share} of a large caller");
        for record in (10..30).map(|caller| fleet.record(caller)) {
            refused += record.refused_within_quota(&small_quota);
            requests += record.requests();
        }
    }
    assert!(
        refused * 100 < requests,
        "{refused} of {requests} of small callers"
    );
}
