//! The decisions of shallothill, driven by events.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointId, EndpointName, KeeperId, NodeName, ServiceName, Zone};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::outcome::Outcome;
use shallothill_core::time::Millis;
use shallothill_directory::{
    EndpointLoad, LeaseOptions, LeaseReply, LeaseRequest, LeaseTable, ReleaseRequest,
};
use shallothill_policy::admit::{Gate, GateOptions, Ticket};
use shallothill_policy::detect::{DetectOptions, Detector};
use shallothill_policy::eject::{EjectOptions, Ejector, EndpointHealth};
use shallothill_policy::pick::{PickOptions, ReportedLoad, ServiceTables};
use shallothill_policy::retry::{Attempts, RetryBudget, RetryOptions};

use crate::deployment::{self, DATA_CENTRES, REGIONS, SERVERS};
use crate::sim::events::Events;
use crate::sim::server::{Run, Server};
use crate::sim::totals::Totals;
use crate::sim::workload::{Call, Plan};
use crate::sim::{MS, Micros, SECOND};

/// Keepers of each region.
pub(super) const KEEPERS: usize = 3;

pub(super) enum Event {
    Next(Call),
    Send(Call),
    AtGate {
        req: u64,
        attempt: u8,
        server: usize,
    },
    Done {
        server: usize,
        ticket: Ticket,
        run: Run,
    },
    Reply(Reply),
    PathCheck {
        req: u64,
        attempt: u8,
        server: usize,
    },
    Deadline {
        req: u64,
    },
    Tick,
    Refresh,
    Report {
        server: usize,
    },
    LoadKnown(usize, EndpointLoad),
    Summary {
        server: usize,
    },
    Directory,
    Lease {
        region: usize,
        keeper: usize,
        server: usize,
        req: LeaseRequest,
    },
    LeaseReply {
        server: usize,
        reply: LeaseReply,
    },
    Release {
        region: usize,
        keeper: usize,
        req: ReleaseRequest,
    },
    Drain {
        server: usize,
    },
    Restart {
        server: usize,
    },
    RestartKeeper {
        region: usize,
        keeper: usize,
    },
}

pub(super) struct Reply {
    pub(super) req: u64,
    pub(super) attempt: u8,
    pub(super) server: usize,
    pub(super) outcome: Outcome,
    pub(super) load: ReportedLoad,
}

pub(super) struct Request {
    pub(super) call: Call,
    pub(super) deadline: Micros,
    pub(super) attempts: Attempts,
    pub(super) place: Option<(usize, Option<Ticket>)>,
    pub(super) in_flight: Option<shallothill_policy::pick::InFlight>,
}

pub(super) struct Entry {
    pub(super) zone: Zone,
    pub(super) tables: ServiceTables,
    pub(super) budget: RetryBudget,
}

pub(super) struct Host {
    pub(super) id: EndpointId,
    pub(super) server: Server,
    pub(super) gate: Gate,
    pub(super) health: EndpointHealth,
    pub(super) runs: HashMap<Ticket, (u64, u8)>,
    pub(super) up: bool,
    pub(super) drained_at: Option<Micros>,
    pub(super) told: Option<ServingState>,
    pub(super) last_report: Micros,
}

/// `Ours` runs a plan with the decisions of shallothill.
pub struct Ours {
    pub(super) plan: Plan,
    pub(super) events: Events<Event>,
    pub(super) rng: SmallRng,
    pub(super) totals: Totals,
    pub(super) service: ServiceName,
    pub(super) retry: RetryOptions,
    pub(super) entries: Vec<Entry>,
    pub(super) hosts: Vec<Host>,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) keepers: Vec<Vec<LeaseTable>>,
    pub(super) loads: HashMap<usize, EndpointLoad>,
    pub(super) directory: Vec<Option<ServingState>>,
    pub(super) claimed: HashSet<u64>,
    pub(super) stored: HashSet<u64>,
    pub(super) lost_messages: f64,
    pub(super) next_request: u64,
    pub(super) next_key: u64,
}

fn host(plan: &Plan, service: &ServiceName, i: usize) -> shallothill_core::Result<Host> {
    let d = &plan.deployment;
    let id = EndpointId {
        service: service.clone(),
        node: NodeName::try_new(&format!("n{i}"))?,
        name: EndpointName::try_new("a")?,
    };
    let dc = deployment::data_centre_of(i);
    let keepers: Vec<KeeperId> = (0..KEEPERS as u32).map(KeeperId).collect();
    let ejector = Ejector::new(
        id.clone(),
        d.zone(dc)?.region,
        &keepers,
        Incarnation(1),
        LeaseOptions::default(),
        EjectOptions::default(),
    );
    let detector = Detector::new(DetectOptions::new(d.latency, d.disposition));
    Ok(Host {
        id,
        server: Server {
            number: i,
            median: d.latency.as_micros() as Micros,
        },
        gate: Gate::new(gate_options(plan), false),
        health: EndpointHealth::new(detector, ejector),
        runs: HashMap::new(),
        up: true,
        drained_at: None,
        told: Some(ServingState::Ready),
        last_report: 0,
    })
}

pub(super) fn gate_options(plan: &Plan) -> GateOptions {
    let d = &plan.deployment;
    GateOptions {
        slots: d.slots,
        queue_capacity: d.slots * 2,
        max_connections: d.connections,
        expected_latency: d.latency,
        ..GateOptions::default()
    }
}

impl Ours {
    /// `try_new` prepares a run.
    ///
    /// Fails when a name of the deployment is not valid.
    pub fn try_new(plan: Plan) -> shallothill_core::Result<Self> {
        let service = ServiceName::try_new("service")?;
        let hosts = (0..SERVERS).map(|i| host(&plan, &service, i));
        let hosts = hosts.collect::<shallothill_core::Result<Vec<_>>>()?;
        let entry = |dc| {
            Ok(Entry {
                zone: plan.deployment.zone(dc)?,
                tables: ServiceTables::default(),
                budget: RetryBudget::default(),
            })
        };
        let entries = (0..DATA_CENTRES).map(entry);
        let entries = entries.collect::<shallothill_core::Result<Vec<_>>>()?;
        let member = |k| LeaseTable::new(KeeperId(k as u32), Millis(0), LeaseOptions::default());
        let keepers = (0..REGIONS).map(|_| (0..KEEPERS).map(member).collect());
        let mut ours = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            events: Events::default(),
            totals: Totals::default(),
            service,
            retry: RetryOptions::default(),
            entries,
            hosts,
            requests: HashMap::new(),
            keepers: keepers.collect(),
            loads: HashMap::new(),
            directory: vec![Some(ServingState::Ready); SERVERS],
            claimed: HashSet::new(),
            stored: HashSet::new(),
            lost_messages: 0.0,
            next_request: 0,
            next_key: 0,
            plan,
        };
        ours.begin();
        Ok(ours)
    }

    fn begin(&mut self) {
        self.rebuild();
        let (pause, call) = self.plan.next_call(0, 0, &mut self.rng);
        self.events.after(pause, Event::Next(call));
        self.events.after(0, Event::Tick);
        self.events.after(0, Event::Refresh);
        for server in 0..SERVERS {
            let phase = server as Micros * 160 * MS;
            self.events.after(phase, Event::Report { server });
        }
    }

    /// `drain_at` makes `server` leave at `at`, counted from the start.
    pub fn drain_at(&mut self, server: usize, at: Micros) {
        self.events.after(at, Event::Drain { server });
    }

    /// `restart_at` lets a crashed `server` announce itself again, cold.
    pub fn restart_at(&mut self, server: usize, at: Micros) {
        self.events.after(at, Event::Restart { server });
    }

    /// `restart_keeper_at` restarts a keeper, which forgets its grants.
    pub fn restart_keeper_at(&mut self, region: usize, keeper: usize, at: Micros) {
        let event = Event::RestartKeeper { region, keeper };
        self.events.after(at, event);
    }

    /// `lose_messages` loses this share of the messages between gates and keepers.
    pub fn lose_messages(&mut self, share: f64) {
        self.lost_messages = share;
    }

    /// `run` runs to the end of the plan.
    pub fn run(mut self) -> Totals {
        while let Some(event) = self.events.next(self.plan.end) {
            self.handle(event);
        }
        self.totals
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Next(call) => {
                self.next_key += 1;
                let now = self.events.now();
                let (pause, next) = self.plan.next_call(now, self.next_key, &mut self.rng);
                self.events.after(pause, Event::Next(next));
                self.arrive(call);
            }
            Event::Send(call) => self.arrive(call),
            Event::AtGate {
                req,
                attempt,
                server,
            } => self.at_gate(req, attempt, server),
            Event::Done {
                server,
                ticket,
                run,
            } => self.done(server, ticket, run),
            Event::Reply(reply) => self.reply(reply),
            Event::PathCheck {
                req,
                attempt,
                server,
            } => self.path_check(req, attempt, server),
            Event::Deadline { req } => self.deadline(req),
            control => self.handle_control(control),
        }
    }
}

pub(super) fn pick_options() -> PickOptions {
    PickOptions::default()
}

pub(super) const SUMMARY_DELAY: Micros = 100 * MS;
pub(super) const REPORT_EVERY: Micros = 2 * SECOND;
pub(super) const PATH_TIMEOUT: Micros = 300 * MS;
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(500);
