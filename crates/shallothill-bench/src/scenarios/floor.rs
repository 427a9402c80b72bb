//! The floor while several gates decide, messages are lost, and servers crash, drain and start.

use crate::deployment::{self, Deployment};
use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::sim::{
    Fault, FaultKind, FleetSimulation, MS, Micros, NaiveSimulation, RunPlan, SECOND, Totals,
    Workload,
};

const SEEDS: u64 = 5;
const END: Micros = 60 * SECOND;
// Three of four servers of the first region are sick, and two of the second one.
const SICK: [usize; 5] = [0, 1, 2, 4, 5];

/// What happens besides the sick servers.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    lost: f64,
    keepers_restart: bool,
    regions_cut: bool,
    servers_go: bool,
}

const QUIET: Case = Case {
    name: "sick servers only",
    lost: 0.0,
    keepers_restart: false,
    regions_cut: false,
    servers_go: false,
};

const CASES: [Case; 4] = [
    QUIET,
    Case {
        name: "30% of lease messages lost, keepers restart",
        lost: 0.3,
        keepers_restart: true,
        ..QUIET
    },
    Case {
        name: "regions cut off from each other",
        regions_cut: true,
        ..QUIET
    },
    Case {
        name: "all of it, with a crash, a drain and a cold start",
        lost: 0.3,
        keepers_restart: true,
        regions_cut: true,
        servers_go: true,
    },
];

fn plan(d: &Deployment, case: &Case, seed: u64) -> RunPlan {
    let fault = |kind, servers: Vec<usize>, from, to| Fault {
        kind,
        servers,
        from: from * SECOND,
        to: to * SECOND,
    };
    let mut faults = vec![fault(FaultKind::Errors(0.9), SICK.to_vec(), 10, 50)];
    if case.servers_go {
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
        end: END,
        seed,
    }
}

fn ours(d: &Deployment, case: &Case, seed: u64) -> Result<Totals> {
    let mut ours = FleetSimulation::try_new(plan(d, case, seed))?;
    ours.lose_messages(case.lost);
    if case.keepers_restart {
        for (region, keeper, at) in [(0, 0, 14), (0, 1, 22), (1, 2, 22), (0, 2, 30)] {
            ours.restart_keeper_at(region, keeper, at * SECOND);
        }
    }
    if case.servers_go {
        ours.restart_at(3, 35 * SECOND);
        ours.drain_at(6, 30 * SECOND);
    }
    Ok(ours.run())
}

fn naive(d: &Deployment, case: &Case, seed: u64) -> Totals {
    let mut naive = NaiveSimulation::new(plan(d, case, seed));
    if case.servers_go {
        naive.drain_at(6, 30 * SECOND);
    }
    naive.run()
}

/// The worst of several runs.
#[derive(Default)]
struct Worst {
    shortage: Micros,
    ejected: [usize; deployment::REGIONS],
}

impl Worst {
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
            "floor: {}, 4 servers and a floor of {} in each region, {SEEDS} runs",
            d.name,
            d.floor_in_region()
        );
        let mut table = Table::new(title, &columns);
        for case in &CASES {
            let (mut a, mut b) = (Worst::default(), Worst::default());
            for seed in seed * 1000..seed * 1000 + SEEDS {
                a.add(&ours(&d, case, seed)?);
                b.add(&naive(&d, case, seed));
            }
            table.row(row(case, "naive", &b));
            table.row(row(case, "ours", &a));
            check(&d, case, &a, report);
        }
        report.tables.push(table);
    }
    Ok(())
}

fn row(case: &Case, version: &str, w: &Worst) -> Vec<String> {
    vec![
        case.name.to_owned(),
        version.to_owned(),
        format!("{:?}", w.ejected),
        format!("{:.2}", w.shortage as f64 / SECOND as f64),
    ]
}

fn check(d: &Deployment, case: &Case, w: &Worst, report: &mut Report) {
    // Without servers that go, ejection alone could break the floor: never. After a crash, the
    // holders beyond the new budget stop at the latest when their leases of 5 s end; a look
    // comes every 50 ms.
    let allowed = if case.servers_go {
        5 * SECOND + 50 * MS
    } else {
        0
    };
    report.bound(
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
    report.bound(
        format!(
            "floor {}: {}: ejections within the budget",
            d.name, case.name
        ),
        format!("{:?} of {budget}", w.ejected),
        w.ejected.iter().all(|n| *n <= budget),
    );
    report.bound(
        format!(
            "floor {}: {}: sick servers are ejected at all",
            d.name, case.name
        ),
        format!("{:?}", w.ejected),
        w.ejected[0] > 0 && w.ejected[1] > 0,
    );
}
