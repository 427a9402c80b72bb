//! Simulates bursts of failures against the retry budget of a service.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::time::Millis;
use shallothill_policy::retry::{GateRetryBudget, GateRetryOptions, RetryWorth};

const NODES: usize = 36;
const GATES: usize = 12;
const PERCENT: u8 = 14;
const SAVED: f64 = 42.0;
const WINDOW_MS: u64 = 10_000;
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// A request that a backend server received.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    repeated: bool,
}

fn gate_share() -> GateRetryOptions {
    GateRetryOptions {
        budget_percent: PERCENT,
        saved_retries: SAVED / GATES as f64,
        ..GateRetryOptions::default()
    }
}

/// Returns the largest excess of retries over the bound of any window; at most 0 if the bound is
/// kept.
fn max_excess(arrivals: &[Arrival]) -> f64 {
    let count = |from: u64, repeated: bool| {
        let within = arrivals
            .iter()
            .filter(|a| a.at >= from && a.at < from + WINDOW_MS);
        within.filter(|a| a.repeated == repeated).count() as f64
    };
    let last = arrivals.last().map_or(0, |a| a.at);
    let max_excess = (0..last)
        .step_by(100)
        .map(|from| count(from, true) - (count(from, false) * f64::from(PERCENT) / 100.0 + SAVED));
    max_excess.fold(f64::MIN, f64::max)
}

/// Guards against gates that together pass on more retries in a window than the service's budget,
/// also while all requests fail, after traffic has ended, and when gates restart.
#[test]
fn holds_all_gates_together_stay_within_the_budget() {
    for seed in SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut gates: Vec<GateRetryBudget> = (0..GATES)
            .map(|_| GateRetryBudget::new(gate_share(), Millis(0)))
            .collect();
        let mut arrivals = Vec::new();
        for at in (0..90_000).step_by(5) {
            // Thirty seconds of traffic, ten of retries alone, then traffic during which gates
            // restart.
            let quiet = (30_000..40_000).contains(&at);
            let gate = rng.random_range(0..GATES);
            if at > 50_000 && rng.random_bool(0.0005) {
                gates[gate] = GateRetryBudget::new(gate_share(), Millis(at));
            }
            if !quiet && rng.random_bool(0.2) {
                gates[gate].record_first(Millis(at), 0);
                arrivals.push(Arrival {
                    at,
                    repeated: false,
                });
            }
            if gates[gate].allows_retry(Millis(at), RetryWorth::default()) {
                gates[gate].record_retry(Millis(at));
                arrivals.push(Arrival { at, repeated: true });
            }
        }

        let max_excess = max_excess(&arrivals);

        assert!(max_excess <= 0.0, "seed {seed}: {max_excess}");
        let repeated = arrivals.iter().filter(|a| a.repeated).count();
        assert!(repeated > 300, "seed {seed}: {repeated}");
    }
}

/// A budget that each entry node keeps for its own requests.
#[derive(Clone, Copy, Debug)]
struct NodeBudget(f64);

impl NodeBudget {
    const MAX_SAVED: f64 = SAVED / NODES as f64;

    fn first(&mut self) {
        self.0 = (self.0 + f64::from(PERCENT) / 100.0).min(Self::MAX_SAVED);
    }

    fn take(&mut self) -> bool {
        let takes = self.0 >= 1.0;
        self.0 -= f64::from(u8::from(takes));
        takes
    }
}

/// Returns the share of failed requests that are retried, with 25 requests/s of which 12% fail.
fn retried_share(seed: u64, at_gates: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut nodes = [NodeBudget(NodeBudget::MAX_SAVED); NODES];
    let mut gates: Vec<GateRetryBudget> = (0..GATES)
        .map(|_| GateRetryBudget::new(gate_share(), Millis(0)))
        .collect();
    let (mut failed, mut repeated) = (0, 0);
    for at in (0..60_000).step_by(40) {
        let (node, gate) = (rng.random_range(0..NODES), rng.random_range(0..GATES));
        nodes[node].first();
        gates[gate].record_first(Millis(at), 0);
        if !rng.random_bool(0.12) {
            continue;
        }
        failed += 1;
        let other = (gate + rng.random_range(1..GATES)) % GATES;
        let again = if at_gates {
            let allowed = gates[other].allows_retry(Millis(at), RetryWorth::default());
            if allowed {
                gates[other].record_retry(Millis(at));
            }
            allowed
        } else {
            nodes[node].take()
        };
        repeated += usize::from(again);
    }
    repeated as f64 / failed as f64
}

/// Guards against failed requests that are given up although the service has retries left, because
/// other nodes hold them.
#[test]
fn failed_requests_are_repeated_while_the_service_has_retries() {
    for seed in SEEDS {
        let (at_nodes, at_gates) = (retried_share(seed, false), retried_share(seed, true));

        assert!(at_gates > 0.9, "seed {seed}: {at_gates}");
        assert!(
            at_gates > at_nodes + 0.1,
            "seed {seed}: {at_nodes}, {at_gates}"
        );
    }
}

/// Returns how many retries of each of these worths pass, when they take turns against a budget of
/// 100 in a window of first requests of the ranks 1 and 2.
fn passed<const N: usize>(worths: [RetryWorth; N]) -> [u32; N] {
    let options = GateRetryOptions {
        budget_percent: 10,
        saved_retries: 0.0,
        ..GateRetryOptions::default()
    };
    let mut gate = GateRetryBudget::new(options, Millis(0));
    for i in 0..1000 {
        gate.record_first(Millis(5_000), 1 + (i % 2) as u8);
    }
    let mut passed = [0; N];
    for _ in 0..100 {
        for (passed, worth) in passed.iter_mut().zip(worths) {
            *passed += u32::from(gate.try_retry(Millis(5_000), worth));
        }
    }
    passed
}

/// Guards against less urgent retries, or those of new requests, that use up a short budget, and
/// against a reserve where all requests have the same rank.
#[test]
fn the_last_retries_are_kept_for_urgent_ranks_and_calls() {
    let new = |rank| RetryWorth { rank, spent: None };
    let call = RetryWorth {
        rank: 2,
        spent: Some(std::time::Duration::from_millis(600)),
    };

    assert_eq!(passed([new(1)]), [100]);
    assert_eq!(passed([new(2)]), [75]);
    assert_eq!(passed([new(9)]), [50]);
    assert_eq!(passed([call]), [100]);
    let [urgent, other, call] = passed([new(1), new(2), call]);
    // They take turns until the budget ends, so that one of them may have one more.
    assert!(
        urgent.abs_diff(call) <= 1 && call > other,
        "{urgent} {other} {call}"
    );
    assert_eq!(urgent + other + call, 100);
}

/// Like [`max_excess`], where the first requests are those of the window, of the one before it or of
/// the one that begins half a window earlier, whichever has most.
fn max_excess_of_stated_bound(arrivals: &[Arrival]) -> f64 {
    let count = |from: u64, repeated: bool| {
        let within = arrivals
            .iter()
            .filter(|a| a.at >= from && a.at < from + WINDOW_MS);
        within.filter(|a| a.repeated == repeated).count() as f64
    };
    let last = arrivals.last().map_or(0, |a| a.at);
    let excess = (WINDOW_MS..last).step_by(100).map(|from| {
        let starts = [from, from - WINDOW_MS / 2, from - WINDOW_MS];
        let first = starts.map(|from| count(from, false));
        let first = first.into_iter().fold(0.0, f64::max);
        count(from, true) - (first * f64::from(PERCENT) / 100.0 + SAVED)
    });
    excess.fold(f64::MIN, f64::max)
}

/// Guards against gates that pass on more retries together while their number changes: those that
/// end leave what they passed on in the window, and those that start know nothing of it.
#[test]
fn holds_gates_that_start_and_end_add_nothing() {
    for seed in SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut gates: Vec<GateRetryBudget> = (0..GATES)
            .map(|_| GateRetryBudget::new(gate_share(), Millis(0)))
            .collect();
        let mut arrivals = Vec::new();
        for at in (0..120_000_u64).step_by(5) {
            if at.is_multiple_of(3_000) && at > 20_000 {
                if rng.random_bool(0.5) && gates.len() > 2 {
                    gates.remove(rng.random_range(0..gates.len()));
                } else {
                    gates.push(GateRetryBudget::new(gate_share(), Millis(at)));
                }
            }
            if at.is_multiple_of(250) {
                let options = GateRetryOptions {
                    saved_retries: SAVED / gates.len() as f64,
                    ..gate_share()
                };
                for gate in &mut gates {
                    gate.set_options(Millis(at), options.clone());
                }
            }
            // Bursts of failures in every second window.
            let burst = (at / WINDOW_MS).is_multiple_of(2);
            let gate = rng.random_range(0..gates.len());
            if rng.random_bool(0.05) {
                gates[gate].record_first(Millis(at), 0);
                arrivals.push(Arrival {
                    at,
                    repeated: false,
                });
            }
            if burst && gates[gate].try_retry(Millis(at), RetryWorth::default()) {
                arrivals.push(Arrival { at, repeated: true });
            }
        }

        let max_excess = max_excess_of_stated_bound(&arrivals);

        assert!(max_excess <= 0.0, "seed {seed}: {max_excess}");
        let repeated = arrivals.iter().filter(|a| a.repeated).count();
        assert!(repeated > 150, "seed {seed}: {repeated}");
    }
}
