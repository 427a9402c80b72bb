//! The floor on healthy servers while gates decide concurrently, lease messages get lost, and
//! servers crash, drain and start.

use crate::deployment::{self, Deployment};
use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::sim::{
    Fault, FaultKind, FleetSimulation, MS, Micros, NaiveSimulation, RunPlan, SECOND, Totals,
    Workload,
};

const RUNS_PER_CASE: u64 = 5;
const RUN_END: Micros = 60 * SECOND;
// Three of the four servers of the first region return errors, and two of the second.
const FAULTY_SERVERS: [usize; 5] = [0, 1, 2, 4, 5];

/// Events that occur in addition to the faulty servers.
#[derive(Clone, Copy)]
struct FloorCase {
    name: &'static str,
    message_loss: f64,
    keepers_restart: bool,
    regions_cut: bool,
    servers_leave: bool,
}

const FAULTY_SERVERS_ONLY: FloorCase = FloorCase {
    name: "sick servers only",
    message_loss: 0.0,
    keepers_restart: false,
    regions_cut: false,
    servers_leave: false,
};

const CASES: [FloorCase; 4] = [
    FAULTY_SERVERS_ONLY,
    FloorCase {
        name: "30% of lease messages lost, keepers restart",
        message_loss: 0.3,
        keepers_restart: true,
        ..FAULTY_SERVERS_ONLY
    },
    FloorCase {
        name: "regions cut off from each other",
        regions_cut: true,
        ..FAULTY_SERVERS_ONLY
    },
    FloorCase {
        name: "all of it, with a crash, a drain and a cold start",
        message_loss: 0.3,
        keepers_restart: true,
        regions_cut: true,
        servers_leave: true,
    },
];

fn plan(d: &Deployment, case: &FloorCase, seed: u64) -> RunPlan {
    let fault = |kind, servers: Vec<usize>, from, to| Fault {
        kind,
        servers,
        from: from * SECOND,
        to: to * SECOND,
    };
    let mut faults = vec![fault(
        FaultKind::Errors(0.9),
        FAULTY_SERVERS.to_vec(),
        10,
        50,
    )];
    if case.servers_leave {
        faults.push(fault(FaultKind::Crashed, vec![3], 25, 35));
    }
    if case.regions_cut {
        for (from, to) in (0..6).flat_map(|a| (0..6).map(move |b| (a, b))) {
            if deployment::region_of(from) != deployment::region_of(to) {
                faults.push(fault(FaultKind::LinkCut { from, to }, vec![], 20, 40));
            }
        }
    }
    RunPlan {
        deployment: d.clone(),
        workload: Workload::steady(0.3),
        faults,
        end: RUN_END,
        seed,
    }
}

fn ours(d: &Deployment, case: &FloorCase, seed: u64) -> Result<Totals> {
    let mut ours = FleetSimulation::try_new(plan(d, case, seed))?;
    ours.lose_messages(case.message_loss);
    if case.keepers_restart {
        for (region, keeper, at) in [(0, 0, 14), (0, 1, 22), (1, 2, 22), (0, 2, 30)] {
            ours.restart_keeper_at(region, keeper, at * SECOND);
        }
    }
    if case.servers_leave {
        ours.restart_at(3, 35 * SECOND);
        ours.drain_at(6, 30 * SECOND);
    }
    Ok(ours.run())
}

fn naive(d: &Deployment, case: &FloorCase, seed: u64) -> Totals {
    let mut naive = NaiveSimulation::new(plan(d, case, seed));
    if case.servers_leave {
        naive.drain_at(6, 30 * SECOND);
    }
    naive.run()
}

/// The worst values of several runs.
#[derive(Default)]
struct WorstResult {
    shortage: Micros,
    ejected: [usize; deployment::REGIONS],
}

impl WorstResult {
    fn add(&mut self, t: &Totals) {
        self.shortage = self.shortage.max(t.longest_floor_shortage);
        for (worst, n) in self.ejected.iter_mut().zip(t.max_ejected) {
            *worst = (*worst).max(n);
        }
    }
}

pub(super) fn run(seed: u64, report: &mut Report) -> Result<()> {
    for d in [deployment::texas(), deployment::kopukcu()] {
        let columns = [
            "events",
            "version",
            "ejected at a time by region",
            "below floor (s)",
        ];
        let title = format!(
            "floor: {}, 4 servers and a floor of {} in each region, {RUNS_PER_CASE} runs",
            d.name,
            d.floor_in_region()
        );
        let mut table = Table::new(title, &columns);
        for case in &CASES {
            let (mut a, mut b) = (WorstResult::default(), WorstResult::default());
            for seed in seed * 1000..seed * 1000 + RUNS_PER_CASE {
                a.add(&ours(&d, case, seed)?);
                b.add(&naive(&d, case, seed));
            }
            table.add_row(row(case, "naive", &b));
            table.add_row(row(case, "ours", &a));
            check_bounds(&d, case, &a, report);
        }
        report.tables.push(table);
    }
    Ok(())
}

fn row(case: &FloorCase, version: &str, w: &WorstResult) -> Vec<String> {
    vec![
        case.name.to_owned(),
        version.to_owned(),
        format!("{:?}", w.ejected),
        format!("{:.2}", w.shortage as f64 / SECOND as f64),
    ]
}

fn check_bounds(d: &Deployment, case: &FloorCase, w: &WorstResult, report: &mut Report) {
    // While no server leaves, only ejections could go below the floor, which must never happen.
    // A crash lowers the budget, and leases beyond it may last until they expire after 5 s; the
    // simulation checks the floor every 50 ms.
    let allowed = if case.servers_leave {
        5 * SECOND + 50 * MS
    } else {
        0
    };
    report.add_bound(
        format!(
            "floor {}: {}: below the floor for at most {} ms",
            d.name,
            case.name,
            allowed / MS
        ),
        format!("{} ms", w.shortage.div_ceil(MS)),
        w.shortage <= allowed,
    );
    let budget = 4 - d.floor_in_region() as usize;
    report.add_bound(
        format!(
            "floor {}: {}: ejections within the budget",
            d.name, case.name
        ),
        format!("{:?} of {budget}", w.ejected),
        w.ejected.iter().all(|n| *n <= budget),
    );
    report.add_bound(
        format!(
            "floor {}: {}: sick servers are ejected at all",
            d.name, case.name
        ),
        format!("{:?}", w.ejected),
        w.ejected[0] > 0 && w.ejected[1] > 0,
    );
}
