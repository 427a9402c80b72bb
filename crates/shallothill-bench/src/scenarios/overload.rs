//! Retries and overload: what is completed, and whether the service comes back afterwards.

use shallothill_core::class::Class;

use crate::deployment::{self, Deployment};
use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::sim::{FleetSimulation, NaiveSimulation, RunPlan, SECOND, Totals, Workload};

const LOADS: [f64; 4] = [0.5, 1.0, 1.5, 3.0];
// Ten seconds at half the capacity, twenty at the load, forty at half again.
const BEGIN: u64 = 10;
const STOP: u64 = 30;
const END: u64 = 70;
const USUAL: f64 = 0.5;

struct Measured {
    service: f64,
    internal: f64,
    during: f64,
    after: f64,
    back: Option<u64>,
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
            table.row(row("naive", load, &naive));
            table.row(row("ours", load, &ours));
            check(report, &d, load, &ours, &naive);
        }
        report.tables.push(table);
    }
    Ok(())
}

fn plan(d: &Deployment, load: f64, seed: u64) -> RunPlan {
    let phases = vec![(0, USUAL), (BEGIN * SECOND, load), (STOP * SECOND, USUAL)];
    RunPlan {
        deployment: d.clone(),
        workload: Workload {
            phases,
            resends: 2,
            ..Workload::steady(USUAL)
        },
        faults: Vec::new(),
        end: END * SECOND,
        seed,
    }
}

fn measure(t: &Totals) -> Measured {
    let share = |wanted: fn(Class) -> bool| {
        let offered = Totals::sum_classes(&t.offered, BEGIN, STOP, wanted);
        let done = Totals::sum_classes(&t.completed, BEGIN, STOP, wanted);
        done as f64 / offered.max(1) as f64
    };
    let attempts = |from, to| {
        let sends = Totals::sum_between(&t.sends, from, to);
        Totals::sum_between(&t.attempts, from, to) as f64 / sends.max(1) as f64
    };
    // Back when nine in ten of the usual requests are answered for three seconds on end.
    let usual = Totals::sum_between(&t.goodput, 2, BEGIN) as f64 / (BEGIN - 2) as f64;
    let good = |s: u64| t.goodput.get(&s).copied().unwrap_or(0) as f64 >= 0.9 * usual;
    let back = (STOP..END - 5).find(|s| (0..3).all(|i| good(s + i)));
    Measured {
        service: share(|c| !c.is_internal()),
        internal: share(Class::is_internal),
        during: attempts(BEGIN, STOP),
        after: attempts(STOP + 3, END - 5),
        back: back.map(|s| s - STOP),
        duplicates: t.duplicates(),
    }
}

fn row(version: &str, load: f64, m: &Measured) -> Vec<String> {
    vec![
        version.to_owned(),
        format!("{load:.1}"),
        format!("{:.3}", m.service),
        format!("{:.3}", m.internal),
        format!("{:.2}", m.during),
        format!("{:.2}", m.after),
        m.back.map_or("never".to_owned(), |s| s.to_string()),
        m.duplicates.to_string(),
    ]
}

fn check(report: &mut Report, d: &Deployment, load: f64, ours: &Measured, naive: &Measured) {
    let at = |what: &str| format!("overload {} {load:.1}: {what}", d.name);
    report.bound(
        at("attempts per request stay within the retry budget of 10%"),
        format!("{:.3} during, {:.3} after", ours.during, ours.after),
        // Ten saved retries of each entry node come on top.
        ours.during <= 1.12 && ours.after <= 1.11,
    );
    report.bound(
        at("no more than one run of a non-idempotent request"),
        format!("{} run twice", ours.duplicates),
        ours.duplicates == 0,
    );
    let waits = |m: &Measured| m.back.unwrap_or(u64::MAX);
    report.bound(
        at("goodput comes back, no later than with the naive version"),
        format!("{:?} s, naive {:?} s", ours.back, naive.back),
        ours.back.is_some() && waits(ours) <= waits(naive),
    );
    report.bound(
        at("editors, authors and shops complete no less than with the naive version"),
        format!("{:.3}, naive {:.3}", ours.service, naive.service),
        ours.service >= naive.service - 0.005,
    );
    report.bound(
        at("internal work keeps a share"),
        format!("{:.3}", ours.internal),
        ours.internal > 0.0,
    );
}
