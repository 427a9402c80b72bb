//! Detection times and false ejections for faults of one server, shared faults and misleading
//! probes.

use shallothill_core::config::Disposition;

use crate::deployment::{self, Deployment, SERVERS};
use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::sim::{
    Fault, FaultKind, FleetSimulation, Micros, NaiveSimulation, RunPlan, SECOND, Totals, Workload,
};

const RUNS_PER_FAULT: u64 = 5;
const CURVE_RUNS_PER_FAULT: u64 = 3;
const FAULT_START: Micros = 15 * SECOND;
const FAULT_END: Micros = 45 * SECOND;
const RUN_END: Micros = 60 * SECOND;
const FAULTY_SERVER: usize = 3;

/// A fault under test. One with `server_fault` set affects a single server and must be detected;
/// the others must not lead to an ejection.
struct FaultCase {
    name: &'static str,
    kind: Option<FaultKind>,
    server_fault: bool,
}

const CASES: [FaultCase; 11] = [
    case("stalls, answers probes", FaultKind::Stall, true),
    case("slow x8, alive", FaultKind::Slow(8.0), true),
    case("errors in 30%", FaultKind::Errors(0.3), true),
    case("flaps every 5 s", FaultKind::Flapping, true),
    case("misleading reports", FaultKind::MisleadingProbe, false),
    case(
        "one-way link fault",
        FaultKind::LinkCut { from: 0, to: 1 },
        false,
    ),
    case("whole service slow x8", FaultKind::Slow(8.0), false),
    case("dependency hangs", FaultKind::Stall, false),
    case("pauses of 0.4 to 1.2 s", FaultKind::Pauses, false),
    case("hard requests, 3%", FaultKind::HeavyRequests(0.03), false),
    FaultCase {
        name: "no fault",
        kind: None,
        server_fault: false,
    },
];

const fn case(name: &'static str, kind: FaultKind, server_fault: bool) -> FaultCase {
    FaultCase {
        name,
        kind: Some(kind),
        server_fault,
    }
}

impl FaultCase {
    fn run_plan(&self, d: &Deployment, seed: u64) -> RunPlan {
        let shared = !self.server_fault && !matches!(self.kind, Some(FaultKind::MisleadingProbe));
        let servers = if shared {
            (0..SERVERS).collect()
        } else {
            vec![FAULTY_SERVER]
        };
        let fault = |kind| Fault {
            kind,
            servers,
            from: FAULT_START,
            to: FAULT_END,
        };
        let mut workload = Workload::steady(0.6);
        if matches!(self.kind, Some(FaultKind::LinkCut { .. })) {
            // The first data centre has more callers than it can serve and needs the second one,
            // which the cut link makes unreachable.
            workload.shares = [0.4, 0.1, 0.1, 0.1, 0.15, 0.15];
        }
        RunPlan {
            deployment: d.clone(),
            workload,
            faults: self.kind.map(fault).into_iter().collect(),
            end: RUN_END,
            seed,
        }
    }
}

/// Results summed over several runs of one case, or of all cases.
#[derive(Clone, Debug, Default)]
struct DetectionTotals {
    rotation_exit_times: Vec<Option<Micros>>,
    ejection_times: Vec<Option<Micros>>,
    false_ejections: usize,
    false_demotions: usize,
    server_hours: f64,
    completed: u64,
    offered: u64,
}

impl DetectionTotals {
    fn add(&mut self, case: &FaultCase, plan: &RunPlan, t: &Totals) {
        if case.server_fault {
            self.rotation_exit_times
                .push(t.detection_time(FAULTY_SERVER, FAULT_START, false));
            self.ejection_times
                .push(t.detection_time(FAULTY_SERVER, FAULT_START, true));
        }
        self.false_ejections += t.false_ejections(&plan.faults);
        self.false_demotions += t.false_demotions(&plan.faults);
        self.server_hours += SERVERS as f64 * (RUN_END / SECOND) as f64 / 3600.0;
        let seconds = RUN_END / SECOND;
        self.completed += Totals::sum_classes(&t.completed, 0, seconds, |c| !c.is_internal());
        self.offered += Totals::sum_classes(&t.offered, 0, seconds, |c| !c.is_internal());
    }

    fn false_ejections_per_hour(&self) -> f64 {
        self.false_ejections as f64 / self.server_hours.max(f64::MIN_POSITIVE)
    }
}

fn quantile(times: &[Option<Micros>], q: f64) -> Option<Micros> {
    let mut sorted: Vec<Micros> = times.iter().map(|t| t.unwrap_or(Micros::MAX)).collect();
    sorted.sort_unstable();
    let last = sorted.len().checked_sub(1)?;
    let i = (q * last as f64).round() as usize;
    Some(sorted[i]).filter(|t| *t != Micros::MAX)
}

fn format_seconds(time: Option<Micros>) -> String {
    time.map_or("never".to_owned(), |t| {
        format!("{:.2}", t as f64 / SECOND as f64)
    })
}

// Runs with different seeds share no state and run in parallel. The results are returned in the
// order of the seeds, which keeps the totals reproducible.
fn run_parallel<T: Send>(seeds: std::ops::Range<u64>, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    std::thread::scope(|scope| {
        let handles: Vec<_> = seeds
            .map(|seed| {
                scope.spawn({
                    let run = &run;
                    move || run(seed)
                })
            })
            .collect();
        let joined = handles.into_iter().map(|h| h.join());
        // A panic in a run is a bug of the bench and is propagated.
        joined
            .map(|r| r.unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
            .collect()
    })
}

fn ours(case: &FaultCase, d: &Deployment, seeds: std::ops::Range<u64>) -> Result<DetectionTotals> {
    let mut found = DetectionTotals::default();
    let one = |seed| {
        let plan = case.run_plan(d, seed);
        Ok((plan.clone(), FleetSimulation::try_new(plan)?.run()))
    };
    for run in run_parallel(seeds, one) {
        let (plan, totals) = run?;
        found.add(case, &plan, &totals);
    }
    Ok(found)
}

fn naive(case: &FaultCase, d: &Deployment, seeds: std::ops::Range<u64>) -> DetectionTotals {
    let mut found = DetectionTotals::default();
    let one = |seed| {
        let plan = case.run_plan(d, seed);
        (plan.clone(), NaiveSimulation::new(plan).run())
    };
    for (plan, totals) in run_parallel(seeds, one) {
        found.add(case, &plan, &totals);
    }
    found
}

pub(super) fn run(seed: u64, report: &mut Report) -> Result<()> {
    let seeds = seed * 1000..seed * 1000 + RUNS_PER_FAULT;
    for d in [deployment::texas(), deployment::kopukcu()] {
        compare_versions(&d, &seeds, report)?;
    }
    disposition_curve(seed, report)
}

fn compare_versions(
    d: &Deployment,
    seeds: &std::ops::Range<u64>,
    report: &mut Report,
) -> Result<()> {
    let columns = [
        "fault",
        "version",
        "out p50 (s)",
        "out max",
        "ejected p50",
        "ejected max",
        "false ej/h",
        "false demoted",
        "done",
    ];
    let title = format!(
        "detection: {}, {RUNS_PER_FAULT} runs of 60 s for each fault",
        d.name
    );
    let mut table = Table::new(title, &columns);
    let (mut all_ours, mut all_naive) = (0, 0);
    for case in &CASES {
        let (a, b) = (ours(case, d, seeds.clone())?, naive(case, d, seeds.clone()));
        table.add_row(row(case, "naive", &b));
        table.add_row(row(case, "ours", &a));
        check_bounds(d, case, &a, &b, report);
        all_ours += a.false_ejections;
        all_naive += b.false_ejections;
    }
    report.tables.push(table);
    // A cautious deployment must have fewer false ejections than the naive version, others at most
    // as many.
    let cautious = d.disposition == Disposition::CAUTIOUS;
    report.add_bound(
        format!("detection {}: false ejections over all faults", d.name),
        format!("{all_ours}, naive {all_naive}"),
        all_ours < all_naive || (!cautious && all_ours == all_naive),
    );
    Ok(())
}

fn row(case: &FaultCase, version: &str, f: &DetectionTotals) -> Vec<String> {
    let times = |t: &[Option<Micros>], q| match case.server_fault {
        true => format_seconds(quantile(t, q)),
        false => "-".to_owned(),
    };
    vec![
        case.name.to_owned(),
        version.to_owned(),
        times(&f.rotation_exit_times, 0.5),
        times(&f.rotation_exit_times, 1.0),
        times(&f.ejection_times, 0.5),
        times(&f.ejection_times, 1.0),
        format!("{:.2}", f.false_ejections_per_hour()),
        f.false_demotions.to_string(),
        format!("{:.3}", f.completed as f64 / f.offered.max(1) as f64),
    ]
}

fn check_bounds(
    d: &Deployment,
    case: &FaultCase,
    ours: &DetectionTotals,
    naive: &DetectionTotals,
    report: &mut Report,
) {
    let name = format!("detection {}: {}", d.name, case.name);
    let borderline = matches!(
        case.kind,
        Some(FaultKind::Pauses | FaultKind::HeavyRequests(_))
    );
    if borderline {
        // These count in the sums and in the curve only: whether a pause justifies an ejection
        // depends on the disposition.
        return;
    }
    if !case.server_fault {
        report.add_bound(
            format!("{name}: nothing is ejected"),
            format!("{} ejections", ours.false_ejections),
            ours.false_ejections == 0,
        );
        return;
    }
    // Compares the time until the server left the rotation with the ejection by probes, at the
    // median and at the maximum.
    let or_max = |t: Option<Micros>| t.unwrap_or(Micros::MAX);
    for (q, which) in [(0.5, "p50"), (1.0, "max")] {
        let out = quantile(&ours.rotation_exit_times, q);
        let probe = quantile(&naive.ejection_times, q);
        report.add_bound(
            format!("{name}: found sooner than by probes ({which})"),
            format!("{}, naive {}", format_seconds(out), format_seconds(probe)),
            out.is_some() && or_max(out) < or_max(probe),
        );
    }
}

fn disposition_curve(seed: u64, report: &mut Report) -> Result<()> {
    let columns = [
        "disposition",
        "out p50 (s)",
        "out max",
        "ejected p50",
        "ejected max",
        "false ej/h",
        "false demoted/h",
    ];
    let title = "detection: curve over the disposition, all faults, texas' sizes";
    let mut table = Table::new(title, &columns);
    let mut points = Vec::new();
    for thousandths in [0, 250, 500, 750, 1000] {
        let mut d = deployment::texas();
        d.disposition = Disposition::from_thousandths(thousandths);
        let mut all = DetectionTotals::default();
        for case in &CASES {
            let seeds = seed * 1000..seed * 1000 + CURVE_RUNS_PER_FAULT;
            let found = ours(case, &d, seeds)?;
            all.rotation_exit_times.extend(found.rotation_exit_times);
            all.ejection_times.extend(found.ejection_times);
            all.false_ejections += found.false_ejections;
            all.false_demotions += found.false_demotions;
            all.server_hours += found.server_hours;
        }
        table.add_row(vec![
            format!("{:.2}", f64::from(thousandths) / 1000.0),
            format_seconds(quantile(&all.rotation_exit_times, 0.5)),
            format_seconds(quantile(&all.rotation_exit_times, 1.0)),
            format_seconds(quantile(&all.ejection_times, 0.5)),
            format_seconds(quantile(&all.ejection_times, 1.0)),
            format!("{:.2}", all.false_ejections_per_hour()),
            format!("{:.2}", all.false_demotions as f64 / all.server_hours),
        ]);
        points.push(all);
    }
    report.tables.push(table);
    if let [quick, .., cautious] = points.as_slice() {
        let (q, c) = (
            quantile(&quick.rotation_exit_times, 0.5),
            quantile(&cautious.rotation_exit_times, 0.5),
        );
        report.add_bound(
            "detection curve: quick finds faults no later than cautious",
            format!("p50 {} and {}", format_seconds(q), format_seconds(c)),
            q.is_some() && q <= c,
        );
        report.add_bound(
            "detection curve: cautious ejects falsely no more often than quick",
            format!("{} and {}", quick.false_ejections, cautious.false_ejections),
            cautious.false_ejections <= quick.false_ejections,
        );
    }
    Ok(())
}
