//! Detection time and false ejections for own, shared and misleading faults.

use shallothill_core::config::Disposition;

use crate::deployment::{self, Deployment, SERVERS};
use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::sim::{
    Fault, FaultKind, FleetSimulation, Micros, NaiveSimulation, RunPlan, SECOND, Totals, Workload,
};

const SEEDS: u64 = 5;
const CURVE_SEEDS: u64 = 3;
const BEGIN: Micros = 15 * SECOND;
const STOP: Micros = 45 * SECOND;
const END: Micros = 60 * SECOND;
const SICK: usize = 3;

/// A fault with its name; `own` faults are to be found, the others are not to be blamed on a
/// server.
struct Case {
    name: &'static str,
    kind: Option<FaultKind>,
    own: bool,
}

const CASES: [Case; 11] = [
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
    Case {
        name: "no fault",
        kind: None,
        own: false,
    },
];

const fn case(name: &'static str, kind: FaultKind, own: bool) -> Case {
    Case {
        name,
        kind: Some(kind),
        own,
    }
}

impl Case {
    fn plan(&self, d: &Deployment, seed: u64) -> RunPlan {
        let shared = !self.own && !matches!(self.kind, Some(FaultKind::MisleadingProbe));
        let servers = if shared {
            (0..SERVERS).collect()
        } else {
            vec![SICK]
        };
        let fault = |kind| Fault {
            kind,
            servers,
            from: BEGIN,
            to: STOP,
        };
        let mut workload = Workload::steady(0.6);
        if matches!(self.kind, Some(FaultKind::LinkCut { .. })) {
            // The callers of the first data centre need the second one, which the fault hides.
            workload.shares = [0.4, 0.1, 0.1, 0.1, 0.15, 0.15];
        }
        RunPlan {
            deployment: d.clone(),
            workload,
            faults: self.kind.map(fault).into_iter().collect(),
            end: END,
            seed,
        }
    }
}

/// What several runs of one case, or of all cases, showed.
#[derive(Clone, Debug, Default)]
struct Found {
    out_after: Vec<Option<Micros>>,
    ejected_after: Vec<Option<Micros>>,
    false_ejections: usize,
    false_demotions: usize,
    server_hours: f64,
    completed: u64,
    offered: u64,
}

impl Found {
    fn add(&mut self, case: &Case, plan: &RunPlan, t: &Totals) {
        if case.own {
            self.out_after.push(t.detection_time(SICK, BEGIN, false));
            self.ejected_after.push(t.detection_time(SICK, BEGIN, true));
        }
        self.false_ejections += t.false_ejections(&plan.faults);
        self.false_demotions += t.false_demotions(&plan.faults);
        self.server_hours += SERVERS as f64 * (END / SECOND) as f64 / 3600.0;
        let seconds = END / SECOND;
        self.completed += Totals::sum_classes(&t.completed, 0, seconds, |c| !c.is_internal());
        self.offered += Totals::sum_classes(&t.offered, 0, seconds, |c| !c.is_internal());
    }

    fn per_hour(&self) -> f64 {
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

fn text(time: Option<Micros>) -> String {
    time.map_or("never".to_owned(), |t| {
        format!("{:.2}", t as f64 / SECOND as f64)
    })
}

// Runs of different seeds share nothing, so that they may run side by side; they are added in
// the order of their seeds.
fn side_by_side<T: Send>(seeds: std::ops::Range<u64>, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
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
        // A panic of a run is a fault of the bench and goes on here.
        joined
            .map(|r| r.unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
            .collect()
    })
}

fn ours(case: &Case, d: &Deployment, seeds: std::ops::Range<u64>) -> Result<Found> {
    let mut found = Found::default();
    let one = |seed| {
        let plan = case.plan(d, seed);
        Ok((plan.clone(), FleetSimulation::try_new(plan)?.run()))
    };
    for run in side_by_side(seeds, one) {
        let (plan, totals) = run?;
        found.add(case, &plan, &totals);
    }
    Ok(found)
}

fn naive(case: &Case, d: &Deployment, seeds: std::ops::Range<u64>) -> Found {
    let mut found = Found::default();
    let one = |seed| {
        let plan = case.plan(d, seed);
        (plan.clone(), NaiveSimulation::new(plan).run())
    };
    for (plan, totals) in side_by_side(seeds, one) {
        found.add(case, &plan, &totals);
    }
    found
}

pub(super) fn run(seed: u64, report: &mut Report) -> Result<()> {
    let seeds = seed * 1000..seed * 1000 + SEEDS;
    for d in [deployment::texas(), deployment::kopukcu()] {
        compare(&d, &seeds, report)?;
    }
    curve(seed, report)
}

fn compare(d: &Deployment, seeds: &std::ops::Range<u64>, report: &mut Report) -> Result<()> {
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
    let title = format!("detection: {}, {SEEDS} runs of 60 s for each fault", d.name);
    let mut table = Table::new(title, &columns);
    let (mut all_ours, mut all_naive) = (0, 0);
    for case in &CASES {
        let (a, b) = (ours(case, d, seeds.clone())?, naive(case, d, seeds.clone()));
        table.row(row(case, "naive", &b));
        table.row(row(case, "ours", &a));
        check(d, case, &a, &b, report);
        all_ours += a.false_ejections;
        all_naive += b.false_ejections;
    }
    report.tables.push(table);
    // Texas must not lose here, Köpükçü must win.
    let cautious = d.disposition == Disposition::CAUTIOUS;
    report.bound(
        format!("detection {}: false ejections over all faults", d.name),
        format!("{all_ours}, naive {all_naive}"),
        all_ours < all_naive || (!cautious && all_ours == all_naive),
    );
    Ok(())
}

fn row(case: &Case, version: &str, f: &Found) -> Vec<String> {
    let times = |t: &[Option<Micros>], q| match case.own {
        true => text(quantile(t, q)),
        false => "-".to_owned(),
    };
    vec![
        case.name.to_owned(),
        version.to_owned(),
        times(&f.out_after, 0.5),
        times(&f.out_after, 1.0),
        times(&f.ejected_after, 0.5),
        times(&f.ejected_after, 1.0),
        format!("{:.2}", f.per_hour()),
        f.false_demotions.to_string(),
        format!("{:.3}", f.completed as f64 / f.offered.max(1) as f64),
    ]
}

fn check(d: &Deployment, case: &Case, ours: &Found, naive: &Found, report: &mut Report) {
    let name = format!("detection {}: {}", d.name, case.name);
    let borderline = matches!(
        case.kind,
        Some(FaultKind::Pauses | FaultKind::HeavyRequests(_))
    );
    if borderline {
        // These count in the sums and in the curve only: whether a pause deserves an ejection is
        // what the disposition weighs.
        return;
    }
    if !case.own {
        report.bound(
            format!("{name}: nothing is ejected"),
            format!("{} ejections", ours.false_ejections),
            ours.false_ejections == 0,
        );
        return;
    }
    // Out of rotation and ejected, at the median and at worst.
    let never = |t: Option<Micros>| t.unwrap_or(Micros::MAX);
    for (q, which) in [(0.5, "p50"), (1.0, "max")] {
        let out = quantile(&ours.out_after, q);
        let probe = quantile(&naive.ejected_after, q);
        report.bound(
            format!("{name}: found sooner than by probes ({which})"),
            format!("{}, naive {}", text(out), text(probe)),
            out.is_some() && never(out) < never(probe),
        );
    }
}

fn curve(seed: u64, report: &mut Report) -> Result<()> {
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
        let mut all = Found::default();
        for case in &CASES {
            let seeds = seed * 1000..seed * 1000 + CURVE_SEEDS;
            let found = ours(case, &d, seeds)?;
            all.out_after.extend(found.out_after);
            all.ejected_after.extend(found.ejected_after);
            all.false_ejections += found.false_ejections;
            all.false_demotions += found.false_demotions;
            all.server_hours += found.server_hours;
        }
        table.row(vec![
            format!("{:.2}", f64::from(thousandths) / 1000.0),
            text(quantile(&all.out_after, 0.5)),
            text(quantile(&all.out_after, 1.0)),
            text(quantile(&all.ejected_after, 0.5)),
            text(quantile(&all.ejected_after, 1.0)),
            format!("{:.2}", all.per_hour()),
            format!("{:.2}", all.false_demotions as f64 / all.server_hours),
        ]);
        points.push(all);
    }
    report.tables.push(table);
    if let [quick, .., cautious] = points.as_slice() {
        let (q, c) = (
            quantile(&quick.out_after, 0.5),
            quantile(&cautious.out_after, 0.5),
        );
        report.bound(
            "detection curve: quick finds faults no later than cautious",
            format!("p50 {} and {}", text(q), text(c)),
            q.is_some() && q <= c,
        );
        report.bound(
            "detection curve: cautious ejects falsely no more often than quick",
            format!("{} and {}", quick.false_ejections, cautious.false_ejections),
            cautious.false_ejections <= quick.false_ejections,
        );
    }
    Ok(())
}
