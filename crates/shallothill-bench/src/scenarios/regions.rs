//! Spill-over to other regions under load and its end, and the traffic that it costs.

use crate::deployment;
use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::sim::{FleetSimulation, NaiveSimulation, RunPlan, SECOND, Totals, Workload};

// 70% of the requests come from the first region.
const CALLER_SHARES: [f64; deployment::DATA_CENTRES] = [0.35, 0.35, 0.075, 0.075, 0.075, 0.075];
const PHASES: [(&str, u64, f64); 3] = [
    ("own region suffices", 0, 0.3),
    ("first region overloaded", 20, 0.7),
    ("load is gone", 40, 0.3),
];
const RUN_END_S: u64 = 70;
// Seconds after a load change that are not measured, while picks move to or from other regions.
const SETTLE_S: u64 = 8;

pub(super) fn run(seed: u64, report: &mut Report) -> Result<()> {
    for d in [deployment::texas(), deployment::kopukcu()] {
        let plan = RunPlan {
            deployment: d.clone(),
            workload: Workload {
                phases: PHASES.iter().map(|(_, s, l)| (s * SECOND, *l)).collect(),
                shares: CALLER_SHARES,
                ..Workload::steady(0.3)
            },
            faults: Vec::new(),
            end: RUN_END_S * SECOND,
            seed,
        };
        let ours = FleetSimulation::try_new(plan.clone())?.run();
        let naive = NaiveSimulation::new(plan).run();
        let columns = ["phase", "version", "KB across regions/1000 req", "done"];
        let mut table = Table::new(format!("regions: {}", d.name), &columns);
        for (i, (name, from, _)) in PHASES.iter().enumerate() {
            let until = PHASES.get(i + 1).map_or(RUN_END_S - 3, |(_, s, _)| *s);
            let at = |t: &Totals| measure(t, from + SETTLE_S, until);
            let (a, b) = (at(&ours), at(&naive));
            table.add_row(row(name, "naive", b));
            table.add_row(row(name, "ours", a));
            let label = format!("regions {}: {name}", d.name);
            report.add_bound(
                format!("{label}: fewer bytes across regions than round robin"),
                format!("{:.0} KB, naive {:.0} KB per 1000", a.0, b.0),
                a.0 < b.0,
            );
            if i != 1 {
                report.add_bound(
                    format!("{label}: requests stay in their region"),
                    format!("{:.1} KB per 1000", a.0),
                    a.0 == 0.0,
                );
            }
            report.add_bound(
                format!("{label}: completed requests do not suffer"),
                format!("{:.4}, naive {:.4}", a.1, b.1),
                a.1 >= b.1 - 0.005,
            );
        }
        report.tables.push(table);
    }
    Ok(())
}

// Returns the kilobytes between regions per 1000 requests, and the share of requests completed.
fn measure(t: &Totals, from: u64, to: u64) -> (f64, f64) {
    let offered = Totals::sum_classes(&t.offered, from, to, |_| true).max(1) as f64;
    let done = Totals::sum_classes(&t.completed, from, to, |_| true) as f64;
    let bytes = Totals::sum_between(&t.cross_region_bytes, from, to) as f64;
    (bytes / offered, done / offered)
}

fn row(phase: &str, version: &str, (kilobytes, done): (f64, f64)) -> Vec<String> {
    vec![
        phase.to_owned(),
        version.to_owned(),
        format!("{kilobytes:.0}"),
        format!("{done:.4}"),
    ]
}
