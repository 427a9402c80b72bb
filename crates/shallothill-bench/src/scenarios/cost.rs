//! The cost of an endpoint pick and of an admission as the number of endpoints grows.

use std::hint::black_box;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use shallothill_core::class::Class;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointId, EndpointName, NodeName, ServiceName};
use shallothill_core::time::Millis;
use shallothill_policy::admit::{
    Admission, Gate, GateOptions, GateRequest, RequestKind, SlotOutcome,
};
use shallothill_policy::pick::{EndpointInfo, PickOptions, PickRequest, ServiceTables};

use crate::deployment;
use crate::report::{Report, Table};
use crate::scenarios::Result;

const ENDPOINT_COUNTS: [usize; 3] = [12, 1200, 24_000];
const PICKS: u32 = 200_000;

/// Counts the random numbers drawn, a measure of work that is the same in every run.
struct CountingRng {
    rng: SmallRng,
    draws: u64,
}

impl RngCore for CountingRng {
    fn next_u32(&mut self) -> u32 {
        self.draws += 1;
        self.rng.next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        self.draws += 1;
        self.rng.next_u64()
    }

    fn fill_bytes(&mut self, buf: &mut [u8]) {
        self.draws += 1;
        self.rng.fill_bytes(buf);
    }
}

struct Cost {
    draws: f64,
    max_draws: u64,
    pick_ns: f64,
}

fn tables(service: &ServiceName, endpoints: usize) -> Result<ServiceTables> {
    let d = deployment::texas();
    let info = |i: usize| {
        Ok(EndpointInfo {
            id: EndpointId {
                service: service.clone(),
                node: NodeName::try_new(&format!("n{i}"))?,
                name: EndpointName::try_new("a")?,
            },
            zone: d.zone(i % deployment::DATA_CENTRES)?,
            peer_address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: d.slots,
            // Some endpoints of each state, so that every candidate list has entries.
            state: match i % 40 {
                7 => ServingState::Ejected,
                13 => ServingState::Demoted,
                _ => ServingState::Ready,
            },
            reporting: true,
        })
    };
    let infos = (0..endpoints).map(info).collect::<Result<Vec<_>>>()?;
    let changed = vec![(service.clone(), infos)];
    Ok(ServiceTables::default().with_endpoints(&d.zone(0)?, changed, &PickOptions::default()))
}

fn measure(endpoints: usize, seed: u64) -> Result<Cost> {
    let service = ServiceName::try_new("service")?;
    let tables = tables(&service, endpoints)?;
    let rng = SmallRng::seed_from_u64(seed);
    let mut rng = CountingRng { rng, draws: 0 };
    let req = PickRequest {
        idempotent: true,
        avoid: &[],
        cross_region_bytes_per_s: None,
    };
    let mut max_draws = 0;
    let start = Instant::now();
    for n in 0..PICKS {
        let before = rng.draws;
        let table = tables.service(&service);
        black_box(table.and_then(|t| t.pick(Millis(u64::from(n)), &mut rng, &req)));
        max_draws = max_draws.max(rng.draws - before);
    }
    Ok(Cost {
        draws: rng.draws as f64 / f64::from(PICKS),
        max_draws,
        pick_ns: per_call(start.elapsed()),
    })
}

fn per_call(elapsed: Duration) -> f64 {
    elapsed.as_nanos() as f64 / f64::from(PICKS)
}

fn admission_ns() -> f64 {
    let mut gate = Gate::new(GateOptions::default(), false);
    let start = Instant::now();
    for n in 0..PICKS {
        let now = Millis(u64::from(n));
        let req = GateRequest {
            kind: RequestKind(0),
            class: Class::Shop,
            deadline: now + Duration::from_secs(10),
            reply_by: None,
            objective: None,
            rank: 0,
            spent: None,
            caller: None,
            trial: false,
        };
        if let Admission::Run(ticket) = black_box(gate.admit(now, req)) {
            gate.finish(now, ticket, SlotOutcome::Served(Duration::from_millis(1)));
        }
        black_box(gate.poll(now));
    }
    per_call(start.elapsed())
}

pub(super) fn run(seed: u64, report: &mut Report) -> Result<()> {
    let columns = [
        "endpoints",
        "draws/pick",
        "most draws",
        "ns/pick",
        "ns/admission",
    ];
    let mut table = Table::new("cost: of a pick and of an admission with its end", &columns);
    let admission = admission_ns();
    let mut most = Vec::new();
    for endpoints in ENDPOINT_COUNTS {
        let cost = measure(endpoints, seed)?;
        most.push(cost.max_draws);
        table.add_row(vec![
            endpoints.to_string(),
            format!("{:.2}", cost.draws),
            cost.max_draws.to_string(),
            format!("{:.0}", cost.pick_ns),
            format!("{admission:.0}"),
        ]);
    }
    report.tables.push(table);
    report.add_bound(
        "cost: the work of a pick does not grow with the number of endpoints",
        format!("at most {most:?} draws"),
        most.iter().all(|n| *n <= 12),
    );
    Ok(())
}
