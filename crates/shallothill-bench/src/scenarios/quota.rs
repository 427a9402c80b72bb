//! Quotas over all nodes: what a fleet admits and refuses, in steady state and under faults, beside
//! fixed shares of the quota at each node.

use std::collections::HashMap;

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;
use shallothill_policy::quota::CreditOptions;
use shallothill_testing::credit;
use shallothill_testing::credit::{CallerRecord, Demand, Fleet, FleetOptions};

use crate::report::{Report, Table};
use crate::scenarios::Result;

/// The usual traffic of a caller is its rate divided by this.
const USUAL: f64 = 1.6;

/// A caller beyond its quota sends this many times its rate.
const EXCESS: f64 = 3.0;

const KEEPERS: usize = 5;
const SMALL_CALLERS: u64 = 40;
const LARGE: u64 = 1000;
const OVER: u64 = 1001;
const MOVING: u64 = 1002;

/// A new issuer saves up less at first; the demand begins after that.
const START: u64 = 9000;
const END: u64 = 49_000;

/// The control-plane budget of a node, from the specification.
const NODE_BYTES_MAX: f64 = 13_000.0;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Case {
    Steady,
    Move,
    IssuerLost,
    Partition,
    Restarts,
}

impl Case {
    const ALL: [Self; 5] = [
        Self::Steady,
        Self::Move,
        Self::IssuerLost,
        Self::Partition,
        Self::Restarts,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Move => "callers move",
            Self::IssuerLost => "issuer lost twice",
            Self::Partition => "a third cut off for 4 s",
            Self::Restarts => "a half restarts at once",
        }
    }

    // Whether callers within their quota must not be refused.
    fn is_calm(self) -> bool {
        matches!(self, Self::Steady | Self::Move)
    }
}

fn demand(caller: u64, rate: f64, nodes: (usize, usize), time: (u64, u64)) -> Demand {
    Demand {
        caller,
        rate,
        nodes,
        time: (Millis(time.0), Millis(time.1)),
    }
}

// Large callers grow with the fleet.
fn callers(case: Case, nodes: usize) -> (HashMap<u64, Quota>, Vec<Demand>) {
    let large = if nodes > 100 { 800 } else { 100 };
    let large_quota = credit::quota(large * 1000, large);
    let rate = f64::from(large);
    let all = (0, nodes);
    let mut quotas = HashMap::from([(LARGE, large_quota), (OVER, large_quota)]);
    let mut demands = vec![
        demand(LARGE, rate / USUAL, all, (START, END)),
        demand(OVER, rate * EXCESS, all, (START, END)),
    ];
    for caller in 0..SMALL_CALLERS {
        quotas.insert(caller, credit::quota(800, 5));
        demands.push(demand(caller, 0.8 / USUAL, all, (START, END)));
    }
    quotas.insert(MOVING, credit::quota(30_000, 30));
    for i in 0..5 {
        let first = match case {
            Case::Move => i as usize * nodes / 5,
            _ => 0,
        };
        let start = START + i * 8000;
        let time = (start, start + 8000);
        demands.push(demand(MOVING, 30.0 / USUAL, (first, nodes / 15), time));
    }
    (quotas, demands)
}

fn play(case: Case, nodes: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        seed,
        nodes,
        keepers: KEEPERS,
        loss_per_mille: 0,
        credit: CreditOptions::default(),
    });
    let (quotas, demands) = callers(case, nodes);
    for (caller, quota) in quotas {
        fleet.set_quota(caller, quota);
    }
    demands.iter().for_each(|d| fleet.add_demand(d));
    match case {
        Case::Steady | Case::Move => {}
        Case::IssuerLost => {
            for (i, at) in [20_000, 32_000].into_iter().enumerate() {
                fleet.stop_keeper(Millis(at), i, Millis(at + 3000));
                fleet.elect_at(Millis(at + 1400), i + 1);
            }
        }
        Case::Partition => {
            fleet.run_until(Millis(20_000));
            (0..nodes / 3).for_each(|n| fleet.cut_off(n, Millis(24_000)));
        }
        Case::Restarts => {
            for at in [20_000, 22_000, 30_000] {
                (0..nodes / 2).for_each(|n| fleet.restart_node(Millis(at), n));
            }
        }
    }
    fleet.run_until(Millis(END + 2000));
    fleet
}

/// `Figures` sums up the callers of one run.
#[derive(Debug, Default)]
struct Figures {
    worst_excess: Option<f64>,
    requests: usize,
    refused: usize,
    waited: u64,
    waited_ms: u64,
    waited_max_ms: u64,
    large_waited: f64,
    over_admitted: f64,
}

fn figures(records: &[(u64, Quota, CallerRecord)]) -> Figures {
    let mut sum = Figures::default();
    for (caller, quota, record) in records {
        let excess = credit::worst_window_excess(&record.admitted, quota, Millis(0));
        sum.worst_excess = Some(sum.worst_excess.map_or(excess, |worst| worst.max(excess)));
        if *caller == OVER {
            let rate = quota.limited_rate().unwrap_or_default().per_second();
            let allowed = rate * (END - START) as f64 / 1000.0;
            sum.over_admitted = record.admitted.len() as f64 / allowed;
            continue;
        }
        sum.requests += record.requests();
        sum.refused += record.refused_within_quota(quota);
        sum.waited += record.waited;
        sum.waited_ms += record.waited_ms;
        if *caller == LARGE {
            sum.large_waited = record.waited as f64 / record.requests() as f64;
        }
        sum.waited_max_ms = sum.waited_max_ms.max(record.waited_max_ms);
    }
    sum
}

fn run_case(case: Case, nodes: usize, seed: u64, table: &mut Table, report: &mut Report) {
    let fleet = play(case, nodes, seed);
    let (quotas, demands) = callers(case, nodes);
    let shares = credit::fixed_shares(seed, nodes, &quotas, &demands);
    let of = |record: &dyn Fn(u64) -> CallerRecord| {
        let all = quotas.iter().map(|(c, q)| (*c, *q, record(*c)));
        figures(&all.collect::<Vec<_>>())
    };
    let ours = of(&|c| fleet.record(c));
    let fixed = of(&|c| shares.get(&c).cloned().unwrap_or_default());
    let (messages, bytes) = fleet.node_cost();
    let percent = |part: usize, all: usize| format!("{:.2}", 100.0 * part as f64 / all as f64);
    let excess = ours.worst_excess.unwrap_or_default();
    for (name, f) in [("tokens", &ours), ("fixed shares", &fixed)] {
        let cost = |value: f64| match name {
            "tokens" => format!("{value:.1}"),
            _ => "0".to_owned(),
        };
        table.add_row(vec![
            nodes.to_string(),
            case.name().to_owned(),
            name.to_owned(),
            format!("{:.0}", f.worst_excess.unwrap_or_default()),
            percent(f.refused, f.requests),
            format!("{:.1}", 100.0 * f.over_admitted),
            percent(f.waited as usize, f.requests),
            format!("{:.1}", 100.0 * f.large_waited),
            format!("{:.1}", f.waited_ms as f64 / f.requests as f64),
            f.waited_max_ms.to_string(),
            cost(messages),
            cost(bytes),
            cost(fleet.issuer_bytes()),
        ]);
    }
    let name = format!("quota: {nodes} nodes, {}", case.name());
    report.add_bound(
        format!("{name}: no window above its bound"),
        format!("{excess:.0} beyond"),
        excess <= 0.0,
    );
    if case.is_calm() {
        report.add_bound(
            format!("{name}: no request within its quota refused"),
            format!("{} of {}", ours.refused, ours.requests),
            ours.refused == 0,
        );
    }
}

// A part of the fleet of the full size: each node gets 176 requests a second of 61,000 callers, each
// of which is at all nodes.
fn run_full_load(seed: u64, table: &mut Table, report: &mut Report) {
    const NODES: usize = 24;
    const CALLERS: u64 = 61_000;
    const NODE_RATE: f64 = 176.0;
    let mut fleet = Fleet::new(FleetOptions {
        seed,
        nodes: NODES,
        keepers: KEEPERS,
        loss_per_mille: 0,
        credit: CreditOptions::default(),
    });
    let rate = NODE_RATE * NODES as f64 / CALLERS as f64;
    for caller in 0..CALLERS {
        fleet.set_quota(caller, credit::quota(8000, 8));
        fleet.add_demand(&demand(caller, rate, (0, NODES), (0, 10_000)));
    }
    fleet.run_until(Millis(10_000));
    let (messages, bytes) = fleet.node_cost();
    table.add_row(vec![
        NODES.to_string(),
        format!("{messages:.1}"),
        format!("{bytes:.0}"),
    ]);
    report.add_bound(
        "quota: bytes a node and second at the full load stay within 13 KB",
        format!("{bytes:.0}"),
        bytes <= NODE_BYTES_MAX,
    );
}

pub(super) fn run(seed: u64, report: &mut Report) -> Result<()> {
    let columns = [
        "nodes",
        "case",
        "method",
        "worst window beyond its bound",
        "refused within quota %",
        "excess caller: % of its rate",
        "waited %",
        "large caller: waited %",
        "mean wait ms",
        "longest wait ms",
        "messages a node and s",
        "bytes a node and s",
        "bytes of keepers a s",
    ];
    let title = "quota: requests admitted and refused (virtual time, 40 s)";
    let mut table = Table::new(title, &columns);
    for nodes in [75, 1700] {
        for case in Case::ALL {
            run_case(case, nodes, seed, &mut table, report);
        }
    }
    report.tables.push(table);
    let title = "quota: cost at 176 requests/s a node of 61,000 callers, each at all nodes";
    let mut table = Table::new(title, &["nodes played", "messages a node and s", "bytes"]);
    run_full_load(seed, &mut table, report);
    report.tables.push(table);
    Ok(())
}
