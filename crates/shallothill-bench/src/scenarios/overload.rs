//! Overload and retries: the share of completed requests, and recovery once the overload ends.

use shallothill_core::class::Class;

use crate::deployment::{self, Deployment};
use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::sim::{FleetSimulation, NaiveSimulation, RunPlan, SECOND, Totals, Workload};

const LOADS: [f64; 4] = [0.5, 1.0, 1.5, 3.0];
// Ten seconds at the base load of half the capacity, twenty at the tested load, and forty at the
// base load again.
const OVERLOAD_START_S: u64 = 10;
const OVERLOAD_END_S: u64 = 30;
const RUN_END_S: u64 = 70;
const BASE_LOAD: f64 = 0.5;

struct OverloadResult {
    external_completed: f64,
    internal_completed: f64,
    attempts_during: f64,
    attempts_after: f64,
    recovery_s: Option<u64>,
    duplicates: usize,
}

pub(super) fn run(seed: u64, report: &mut Report) -> Result<()> {
    for d in [deployment::texas(), deployment::kopukcu()] {
        let columns = [
            "version",
            "load",
            "service done",
            "internal done",
            "attempts/req",
            "after",
            "back (s)",
            "run twice",
        ];
        let title = format!("overload: {} (share of requests completed)", d.name);
        let mut table = Table::new(title, &columns);
        for load in LOADS {
            let ours = measure(&FleetSimulation::try_new(plan(&d, load, seed))?.run());
            let naive = measure(&NaiveSimulation::new(plan(&d, load, seed)).run());
            table.add_row(row("naive", load, &naive));
            table.add_row(row("ours", load, &ours));
            check_bounds(report, &d, load, &ours, &naive);
        }
        report.tables.push(table);
    }
    Ok(())
}

fn plan(d: &Deployment, load: f64, seed: u64) -> RunPlan {
    let phases = vec![
        (0, BASE_LOAD),
        (OVERLOAD_START_S * SECOND, load),
        (OVERLOAD_END_S * SECOND, BASE_LOAD),
    ];
    RunPlan {
        deployment: d.clone(),
        workload: Workload {
            phases,
            resends: 2,
            ..Workload::steady(BASE_LOAD)
        },
        faults: Vec::new(),
        end: RUN_END_S * SECOND,
        seed,
    }
}

fn measure(t: &Totals) -> OverloadResult {
    let share = |wanted: fn(Class) -> bool| {
        let offered = Totals::sum_classes(&t.offered, OVERLOAD_START_S, OVERLOAD_END_S, wanted);
        let done = Totals::sum_classes(&t.completed, OVERLOAD_START_S, OVERLOAD_END_S, wanted);
        done as f64 / offered.max(1) as f64
    };
    let attempts = |from, to| {
        let sends = Totals::sum_between(&t.sends, from, to);
        Totals::sum_between(&t.attempts, from, to) as f64 / sends.max(1) as f64
    };
    // Recovered once goodput is at least 90% of that before the overload for three consecutive
    // seconds.
    let base_goodput =
        Totals::sum_between(&t.goodput, 2, OVERLOAD_START_S) as f64 / (OVERLOAD_START_S - 2) as f64;
    let recovered = |s: u64| t.goodput.get(&s).copied().unwrap_or(0) as f64 >= 0.9 * base_goodput;
    let recovered_at = (OVERLOAD_END_S..RUN_END_S - 5).find(|s| (0..3).all(|i| recovered(s + i)));
    OverloadResult {
        external_completed: share(|c| !c.is_internal()),
        internal_completed: share(Class::is_internal),
        attempts_during: attempts(OVERLOAD_START_S, OVERLOAD_END_S),
        attempts_after: attempts(OVERLOAD_END_S + 3, RUN_END_S - 5),
        recovery_s: recovered_at.map(|s| s - OVERLOAD_END_S),
        duplicates: t.duplicates(),
    }
}

fn row(version: &str, load: f64, m: &OverloadResult) -> Vec<String> {
    vec![
        version.to_owned(),
        format!("{load:.1}"),
        format!("{:.3}", m.external_completed),
        format!("{:.3}", m.internal_completed),
        format!("{:.2}", m.attempts_during),
        format!("{:.2}", m.attempts_after),
        m.recovery_s.map_or("never".to_owned(), |s| s.to_string()),
        m.duplicates.to_string(),
    ]
}

fn check_bounds(
    report: &mut Report,
    d: &Deployment,
    load: f64,
    ours: &OverloadResult,
    naive: &OverloadResult,
) {
    let at = |what: &str| format!("overload {} {load:.1}: {what}", d.name);
    report.add_bound(
        at("attempts per request stay within the retry budget of 10%"),
        format!(
            "{:.3} during, {:.3} after",
            ours.attempts_during, ours.attempts_after
        ),
        // Each entry node may use ten saved retries on top of the 10%.
        ours.attempts_during <= 1.12 && ours.attempts_after <= 1.11,
    );
    report.add_bound(
        at("no more than one run of a non-idempotent request"),
        format!("{} run twice", ours.duplicates),
        ours.duplicates == 0,
    );
    let recovery_or_max = |m: &OverloadResult| m.recovery_s.unwrap_or(u64::MAX);
    report.add_bound(
        at("goodput comes back, no later than with the naive version"),
        format!("{:?} s, naive {:?} s", ours.recovery_s, naive.recovery_s),
        ours.recovery_s.is_some() && recovery_or_max(ours) <= recovery_or_max(naive),
    );
    report.add_bound(
        at("editors, authors and shops complete no less than with the naive version"),
        format!(
            "{:.3}, naive {:.3}",
            ours.external_completed, naive.external_completed
        ),
        ours.external_completed >= naive.external_completed - 0.005,
    );
    report.add_bound(
        at("internal work keeps a share"),
        format!("{:.3}", ours.internal_completed),
        ours.internal_completed > 0.0,
    );
}
