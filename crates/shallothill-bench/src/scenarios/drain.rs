//! Requests that start on a server after its drain began.

use crate::deployment;
use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::sim::{FleetSimulation, Micros, NaiveSimulation, RunPlan, SECOND, Totals, Workload};

const DRAIN_START: Micros = 10 * SECOND;
const DRAINED_SERVER: usize = 5;
const MAX_START_DELAY: Micros = 3 * SECOND;

pub(super) fn run(seed: u64, report: &mut Report) -> Result<()> {
    let columns = [
        "deployment",
        "version",
        "new work after",
        "last (s)",
        "after 3 s",
        "done",
    ];
    let mut table = Table::new("drain: one server leaves at 70% load", &columns);
    for d in [deployment::texas(), deployment::kopukcu()] {
        let plan = RunPlan {
            deployment: d.clone(),
            workload: Workload::steady(0.7),
            faults: Vec::new(),
            end: 25 * SECOND,
            seed,
        };
        let mut ours = FleetSimulation::try_new(plan.clone())?;
        ours.drain_at(DRAINED_SERVER, DRAIN_START);
        let ours = ours.run();
        let mut naive = NaiveSimulation::new(plan);
        naive.drain_at(DRAINED_SERVER, DRAIN_START);
        let naive = naive.run();
        table.add_row(row(d.name, "naive", &naive));
        table.add_row(row(d.name, "ours", &ours));
        let late = ours
            .starts_after_drain
            .iter()
            .filter(|t| **t > MAX_START_DELAY)
            .count();
        report.add_bound(
            format!("drain {}: no new work 3 s after the drain", d.name),
            format!("{late} requests"),
            late == 0,
        );
        let (done, _) = completed(&ours);
        let (naive_done, offered) = completed(&naive);
        report.add_bound(
            format!("drain {}: the drain interrupts no request", d.name),
            format!("{done}, naive {naive_done} of {offered}"),
            done >= 0.999,
        );
    }
    report.tables.push(table);
    Ok(())
}

// Returns the completed share of the requests offered in seconds 5 to 20, around the drain, and
// their number.
fn completed(t: &Totals) -> (f64, u64) {
    let offered = Totals::sum_classes(&t.offered, 5, 20, |_| true);
    let done = Totals::sum_classes(&t.completed, 5, 20, |_| true);
    (done as f64 / offered.max(1) as f64, offered)
}

fn row(deployment: &str, version: &str, t: &Totals) -> Vec<String> {
    let last = t.starts_after_drain.iter().max().copied().unwrap_or(0);
    let late = t
        .starts_after_drain
        .iter()
        .filter(|t| **t > MAX_START_DELAY)
        .count();
    vec![
        deployment.to_owned(),
        version.to_owned(),
        t.starts_after_drain.len().to_string(),
        format!("{:.2}", last as f64 / SECOND as f64),
        late.to_string(),
        format!("{:.4}", completed(t).0),
    ]
}
