//! Tests of the reproducibility and the bounds of the benchmark.

use shallothill_bench::report::Report;
use shallothill_bench::scenarios;

fn run(name: &str, seed: u64) -> Report {
    let mut report = Report::default();
    let scenario = scenarios::ALL.iter().find(|s| s.name == name).unwrap();
    (scenario.run)(seed, &mut report).unwrap();
    report
}

/// Guards against nondeterminism, which would make CI pass or fail at random: the same seed must
/// give the same tables.
#[test]
fn one_seed_gives_one_result() {
    for name in ["crashes", "drain"] {
        let (first, second) = (run(name, 7), run(name, 7));
        let rows = |r: &Report| {
            r.tables
                .iter()
                .flat_map(|t| t.rows.clone())
                .collect::<Vec<_>>()
        };
        assert_eq!(rows(&first), rows(&second), "{name}");
    }
}

/// Guards against a request that crashes more than two backend servers; ten seeds vary the order of
/// events.
#[test]
fn holds_two_crashes_per_request() {
    for seed in 1..=10 {
        assert!(run("crashes", seed).all_bounds_met(), "seed {seed}");
    }
}
