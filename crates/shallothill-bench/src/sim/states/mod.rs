//! Simulation of how the states of backend servers reach the nodes that choose.
//!
//! Many entry nodes, each with few requests a second, send to servers of uneven speed and size that
//! have gray failures, cold starts and a slow-down when they are nearly full.

mod host;
mod plan;
mod report;
mod request;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallothill_core::health::ServingState;
use shallothill_core::ids::{
    DataCentre, EndpointId, EndpointName, NodeName, Region, ServiceName, Zone,
};
use shallothill_policy::admit::Ticket;
use shallothill_policy::pick::{EndpointInfo, EndpointKey, ReportedLoad, ServiceTables};
use shallothill_policy::retry::RetryBudget;

use crate::sim::states::host::{Host, Run, WORK};
use crate::sim::states::request::Request;
use crate::sim::{EventQueue, MS, Micros, millis};

pub use plan::{Reporting, StatesPlan, StatesTotals};

const DATA_CENTRES: usize = 6;
const POLL_INTERVAL: Micros = 50 * MS;
const REFRESH_INTERVAL: Micros = 250 * MS;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    AtGate {
        req: u64,
        server: usize,
    },
    Done {
        server: usize,
        ticket: Ticket,
        run: Run,
    },
    Reply {
        req: u64,
        server: usize,
        load: ReportedLoad,
        end: End,
    },
    Notice {
        entry: usize,
        server: usize,
        load: ReportedLoad,
        invited: bool,
    },
    Toggle(usize),
    Poll(usize),
    Refresh,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Answered,
    Suspect,
    Full,
    Failed,
}

/// An entry node.
struct EntryNode {
    name: NodeName,
    dc: usize,
    tables: ServiceTables,
    budget: RetryBudget,
}

/// `StatesSimulation` runs one [`StatesPlan`].
pub struct StatesSimulation {
    plan: StatesPlan,
    rng: SmallRng,
    events: EventQueue<Event>,
    hosts: Vec<Host>,
    reporters: Vec<report::Reporter>,
    entries: Vec<EntryNode>,
    requests: BTreeMap<u64, Request>,
    last_request: u64,
    arrivals_per_s: f64,
    service: ServiceName,
    /// Requests answered by each server, for each of its slots.
    served: Vec<f64>,
    totals: StatesTotals,
}

impl StatesSimulation {
    /// `try_new` builds the servers and the entry nodes.
    ///
    /// Fails when a generated name is not valid.
    pub fn try_new(plan: StatesPlan) -> shallothill_core::Result<Self> {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let service = ServiceName::try_new("desk")?;
        let infos = (0..plan.servers)
            .map(|s| endpoint_info(&service, s, plan.entries))
            .collect::<shallothill_core::Result<Vec<_>>>()?;
        let mut hosts: Vec<Host> = infos
            .iter()
            .enumerate()
            .map(|(s, info)| Host::new(EndpointKey::of(&info.id), dc_of(s), &mut rng))
            .collect();
        let mut infos = infos;
        for (info, host) in infos.iter_mut().zip(&mut hosts) {
            info.slots = host.slots;
            host.only_idle_unproven = !plan.pick.by_state;
        }
        let entries = (0..plan.entries)
            .map(|n| {
                let changed = vec![(service.clone(), infos.clone())];
                Ok(EntryNode {
                    name: node_name(n)?,
                    dc: dc_of(n),
                    tables: ServiceTables::default().with_endpoints(
                        &zone(dc_of(n))?,
                        changed,
                        &plan.pick,
                    ),
                    budget: RetryBudget::default(),
                })
            })
            .collect::<shallothill_core::Result<Vec<_>>>()?;
        let slots: f64 = hosts.iter().map(|h| f64::from(h.slots)).sum();
        Ok(Self {
            arrivals_per_s: plan.load * slots / WORK.as_secs_f64(),
            reporters: hosts.iter().map(|_| report::Reporter::default()).collect(),
            served: vec![0.0; hosts.len()],
            totals: StatesTotals::default(),
            plan,
            rng,
            events: EventQueue::default(),
            hosts,
            entries,
            requests: BTreeMap::new(),
            last_request: 0,
            service,
        })
    }

    /// `run` runs the plan to its end.
    pub fn run(mut self) -> StatesTotals {
        for server in 0..self.hosts.len() {
            let after = self.hosts[server].time_to_change(&mut self.rng);
            self.events.schedule_after(after, Event::Toggle(server));
            let offset = self.rng.random_range(0..POLL_INTERVAL);
            self.events.schedule_after(offset, Event::Poll(server));
        }
        self.events.schedule_after(0, Event::Arrive);
        self.events.schedule_after(0, Event::Refresh);
        while let Some(event) = self.events.next_before(self.plan.end) {
            self.handle(event);
        }
        let runs = self.hosts.iter().map(|h| h.runs);
        self.totals.fewest = runs.min().unwrap_or(0);
        let sum: f64 = self.served.iter().sum();
        let max = self.served.iter().copied().fold(0.0, f64::max);
        self.totals.busiest_to_mean = max * self.served.len() as f64 / sum.max(1.0);
        self.totals
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::AtGate { req, server } => self.at_gate(req, server),
            Event::Done {
                server,
                ticket,
                run,
            } => self.finish(server, ticket, run),
            Event::Reply {
                req,
                server,
                load,
                end,
            } => self.reply(req, server, load, end),
            Event::Notice {
                entry,
                server,
                load,
                invited,
            } => self.apply_notice(entry, server, load, invited),
            Event::Toggle(server) => {
                let after = self.hosts[server].toggle(&mut self.rng);
                self.events.schedule_after(after, Event::Toggle(server));
            }
            Event::Poll(server) => {
                self.poll_notices(server);
                self.events
                    .schedule_after(POLL_INTERVAL, Event::Poll(server));
            }
            Event::Refresh => {
                let now = millis(self.events.now());
                for entry in &self.entries {
                    if let Some(table) = entry.tables.service(&self.service) {
                        table.update_spill(now);
                    }
                }
                self.events.schedule_after(REFRESH_INTERVAL, Event::Refresh);
            }
        }
    }

    fn record_load(&self, entry: usize, server: usize, load: ReportedLoad) {
        let table = self.entries[entry].tables.service(&self.service);
        if let Some(endpoint) = table.and_then(|t| t.find(self.hosts[server].key)) {
            endpoint.stats.record_load(millis(self.events.now()), load);
        }
    }

    fn counts(&self) -> bool {
        self.events.now() >= plan::WARM_UP
    }
}

fn dc_of(n: usize) -> usize {
    n % DATA_CENTRES
}

fn region_of(dc: usize) -> usize {
    dc / 2
}

fn zone(dc: usize) -> shallothill_core::Result<Zone> {
    Ok(Zone {
        region: Region::try_new(&format!("r{}", region_of(dc)))?,
        data_centre: DataCentre::try_new(&format!("d{dc}"))?,
    })
}

fn node_name(n: usize) -> shallothill_core::Result<NodeName> {
    NodeName::try_new(&format!("n{n}"))
}

fn endpoint_info(
    service: &ServiceName,
    server: usize,
    entries: usize,
) -> shallothill_core::Result<EndpointInfo> {
    Ok(EndpointInfo {
        id: EndpointId {
            service: service.clone(),
            node: node_name(server % entries)?,
            name: EndpointName::try_new(&format!("s{server}"))?,
        },
        zone: zone(dc_of(server))?,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 1,
        state: ServingState::Ready,
        reporting: true,
    })
}
