//! Tests of the bench itself.

use shallothill_bench::report::Report;
use shallothill_bench::scenarios;

fn run(name: &str, seed: u64) -> Report {
    let mut report = Report::default();
    let scenario = scenarios::ALL.iter().find(|s| s.name == name).unwrap();
    (scenario.run)(seed, &mut report).unwrap();
    report
}

/// Guards against a verdict of CI that differs between runs: one seed gives one result.
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

/// Guards against a request that crashes more than two backend servers, for many interleavings.
#[test]
fn holds_two_crashes_per_request() {
    for seed in 1..=10 {
        assert!(run("crashes", seed).is_met(), "seed {seed}");
    }
}
