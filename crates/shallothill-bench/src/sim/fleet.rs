//! Simulation of a fleet that runs the policies of shallothill.

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
use crate::sim::events::EventQueue;
use crate::sim::server::{RunOutcome, Server};
use crate::sim::totals::Totals;
use crate::sim::workload::{Call, RunPlan};
use crate::sim::{MS, Micros, SECOND};

/// Number of keepers in each region.
pub(super) const KEEPERS: usize = 3;

pub(super) enum Event {
    NextCall(Call),
    Resend(Call),
    AtGate {
        req: u64,
        attempt: u8,
        server: usize,
    },
    Done {
        server: usize,
        ticket: Ticket,
        run: RunOutcome,
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
    RefreshSpill,
    Report {
        server: usize,
    },
    LoadReceived(usize, EndpointLoad),
    Summary {
        server: usize,
    },
    DirectoryUpdate,
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
    pub(super) assignment: Option<(usize, Option<Ticket>)>,
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
    pub(super) attempts_by_ticket: HashMap<Ticket, (u64, u8)>,
    pub(super) up: bool,
    pub(super) drained_at: Option<Micros>,
    pub(super) published_state: Option<ServingState>,
    pub(super) last_report: Micros,
}

/// `FleetSimulation` simulates a plan with the policies of shallothill.
pub struct FleetSimulation {
    pub(super) plan: RunPlan,
    pub(super) events: EventQueue<Event>,
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
    pub(super) claimed_keys: HashSet<u64>,
    pub(super) answered_keys: HashSet<u64>,
    pub(super) message_loss: f64,
    pub(super) next_request: u64,
    pub(super) next_key: u64,
}

fn host(plan: &RunPlan, service: &ServiceName, i: usize) -> shallothill_core::Result<Host> {
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
        attempts_by_ticket: HashMap::new(),
        up: true,
        drained_at: None,
        published_state: Some(ServingState::Ready),
        last_report: 0,
    })
}

pub(super) fn gate_options(plan: &RunPlan) -> GateOptions {
    let d = &plan.deployment;
    GateOptions {
        slots: d.slots,
        queue_capacity: d.slots * 2,
        max_connections: d.connections,
        expected_latency: d.latency,
        ..GateOptions::default()
    }
}

impl FleetSimulation {
    /// `try_new` builds the entry nodes, gates and keepers and schedules the first events.
    ///
    /// Fails when a name in the deployment is not valid.
    pub fn try_new(plan: RunPlan) -> shallothill_core::Result<Self> {
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
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            events: EventQueue::default(),
            totals: Totals::default(),
            service,
            retry: RetryOptions::default(),
            entries,
            hosts,
            requests: HashMap::new(),
            keepers: keepers.collect(),
            loads: HashMap::new(),
            directory: vec![Some(ServingState::Ready); SERVERS],
            claimed_keys: HashSet::new(),
            answered_keys: HashSet::new(),
            message_loss: 0.0,
            next_request: 0,
            next_key: 0,
            plan,
        };
        simulation.schedule_first_events();
        Ok(simulation)
    }

    fn schedule_first_events(&mut self) {
        self.rebuild();
        let (pause, call) = self.plan.next_call(0, 0, &mut self.rng);
        self.events.schedule_after(pause, Event::NextCall(call));
        self.events.schedule_after(0, Event::Tick);
        self.events.schedule_after(0, Event::RefreshSpill);
        for server in 0..SERVERS {
            let phase = server as Micros * 160 * MS;
            self.events.schedule_after(phase, Event::Report { server });
        }
    }

    /// `drain_at` starts draining `server` at `at`, counted from the start of the run.
    pub fn drain_at(&mut self, server: usize, at: Micros) {
        self.events.schedule_after(at, Event::Drain { server });
    }

    /// `restart_at` restarts a crashed `server` at `at`; it announces itself as cold.
    pub fn restart_at(&mut self, server: usize, at: Micros) {
        self.events.schedule_after(at, Event::Restart { server });
    }

    /// `restart_keeper_at` restarts a keeper at `at`, which loses its lease grants.
    pub fn restart_keeper_at(&mut self, region: usize, keeper: usize, at: Micros) {
        let event = Event::RestartKeeper { region, keeper };
        self.events.schedule_after(at, event);
    }

    /// `lose_messages` drops this fraction of the lease messages between gates and keepers.
    pub fn lose_messages(&mut self, share: f64) {
        self.message_loss = share;
    }

    /// `run` processes events until the end of the plan and returns the totals.
    pub fn run(mut self) -> Totals {
        while let Some(event) = self.events.next_before(self.plan.end) {
            self.handle(event);
        }
        self.totals
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextCall(call) => {
                self.next_key += 1;
                let now = self.events.now();
                let (pause, next) = self.plan.next_call(now, self.next_key, &mut self.rng);
                self.events.schedule_after(pause, Event::NextCall(next));
                self.arrive(call);
            }
            Event::Resend(call) => self.arrive(call),
            Event::AtGate {
                req,
                attempt,
                server,
            } => self.arrive_at_gate(req, attempt, server),
            Event::Done {
                server,
                ticket,
                run,
            } => self.finish_run(server, ticket, run),
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
pub(super) const REPORT_INTERVAL: Micros = 2 * SECOND;
pub(super) const PATH_TIMEOUT: Micros = 300 * MS;
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(500);
