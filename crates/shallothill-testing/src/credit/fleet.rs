//! The simulated fleet: delivers messages, with delays and losses, and records what happens.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::config::Quota;
use shallothill_core::time::Millis;
use shallothill_policy::quota::{CreditOptions, Issuer};

use super::event::Event;
use super::keeper::SimKeeper;
use super::node::SimNode;
use super::record::CallerRecord;
use super::workload::Demand;

const NODE_PERIOD: Duration = Duration::from_millis(400);
const KEEPER_PERIOD: Duration = Duration::from_millis(150);

/// `FleetOptions` sets the size of the fleet and its network.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The seed of arrivals, delays and losses.
    pub seed: u64,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of keepers; the first one issues.
    pub keepers: usize,
    /// The part of the messages that are lost, in thousandths.
    pub loss_per_mille: u32,
    /// The tolerance that the issuer gets.
    pub credit: CreditOptions,
}

/// `Fleet` runs nodes and keepers on a queue of events.
#[derive(Debug)]
pub struct Fleet {
    options: FleetOptions,
    rng: StdRng,
    pub(super) now: Millis,
    events: BTreeMap<(Millis, u64), Event>,
    next_event: u64,
    pub(super) next_id: u64,
    pub(super) nodes: Vec<SimNode>,
    pub(super) keepers: Vec<SimKeeper>,
    pub(super) issuer: usize,
    pub(super) quotas: HashMap<u64, Quota>,
    pub(super) records: HashMap<u64, CallerRecord>,
    pub(super) node_messages: u64,
    pub(super) node_bytes: u64,
    pub(super) keeper_bytes: u64,
}

impl Fleet {
    /// `new` returns a fleet whose keeper 0 has just become the issuer.
    pub fn new(options: FleetOptions) -> Self {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let new_keeper = |_| SimKeeper::new(rng.random());
        let keepers: Vec<SimKeeper> = (0..options.keepers).map(new_keeper).collect();
        let new_node = |n| SimNode::new(n % options.keepers, rng.random());
        let nodes: Vec<SimNode> = (0..options.nodes).map(new_node).collect();
        let mut fleet = Self {
            rng,
            now: Millis(0),
            events: BTreeMap::new(),
            next_event: 0,
            next_id: 0,
            nodes,
            keepers,
            issuer: 0,
            quotas: HashMap::new(),
            records: HashMap::new(),
            node_messages: 0,
            node_bytes: 0,
            keeper_bytes: 0,
            options,
        };
        for node in 0..fleet.nodes.len() {
            let offset = fleet.rng.random_range(0..400);
            fleet.at(Millis(offset), Event::NodePeriod { node });
        }
        for keeper in 0..fleet.keepers.len() {
            let offset = fleet.rng.random_range(0..150);
            fleet.at(Millis(offset), Event::KeeperPeriod { keeper });
        }
        fleet.elect(0);
        fleet
    }

    /// `set_quota` sets the quota of a caller before the start.
    pub fn set_quota(&mut self, caller: u64, quota: Quota) {
        self.quotas.insert(caller, quota);
    }

    /// `quotas` returns the quotas in force.
    pub fn quotas(&self) -> &HashMap<u64, Quota> {
        &self.quotas
    }

    /// `add_demand` schedules the requests of a demand.
    pub fn add_demand(&mut self, demand: &Demand) {
        for (at, node) in demand.arrivals(&mut self.rng) {
            let caller = demand.caller;
            self.at(at, Event::Arrival { node, caller });
        }
    }

    /// `restart_node` makes a node lose its state at `at`.
    pub fn restart_node(&mut self, at: Millis, node: usize) {
        self.at(at, Event::NodeRestarts { node });
    }

    /// `stop_keeper` makes a keeper lose its state at `at` and run again at `until`.
    pub fn stop_keeper(&mut self, at: Millis, keeper: usize, until: Millis) {
        self.at(at, Event::KeeperStops { keeper, until });
    }

    /// `elect_at` makes `keeper` the issuer at `at`, with no state.
    pub fn elect_at(&mut self, at: Millis, keeper: usize) {
        self.at(at, Event::Elected { keeper });
    }

    /// `change_quota` changes the quota of a caller at `at`, at all processes.
    pub fn change_quota(&mut self, at: Millis, caller: u64, thousandths: u32, burst: u32) {
        let event = Event::QuotaChanges {
            caller,
            thousandths,
            burst,
        };
        self.at(at, event);
    }

    /// `cut_off` cuts a node off from its keeper from now until `until`.
    pub fn cut_off(&mut self, node: usize, until: Millis) {
        self.nodes[node].cut_until = until;
    }

    /// `run_until` handles all events before `end`.
    pub fn run_until(&mut self, end: Millis) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 < end
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// `record` returns what happened to the requests of a caller.
    pub fn record(&self, caller: u64) -> CallerRecord {
        self.records.get(&caller).cloned().unwrap_or_default()
    }

    /// `node_cost` returns the messages and the bytes, in both directions, of a node in a second.
    pub fn node_cost(&self) -> (f64, f64) {
        let node_seconds = self.now.0 as f64 / 1000.0 * self.nodes.len() as f64;
        (
            self.node_messages as f64 / node_seconds,
            self.node_bytes as f64 / node_seconds,
        )
    }

    /// `issuer_bytes` returns the bytes between all keepers and the issuer in a second, in both
    /// directions.
    pub fn issuer_bytes(&self) -> f64 {
        self.keeper_bytes as f64 * 1000.0 / self.now.0 as f64
    }

    fn at(&mut self, at: Millis, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    pub(super) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    // Sends a message over a link with the mean delay `ms`, unless it is lost.
    pub(super) fn send(&mut self, ms: u64, event: Event) {
        if self.rng.random_range(0..1000) >= self.options.loss_per_mille {
            let delay = ms + self.rng.random_range(0..=ms / 4 + 1);
            self.after(Duration::from_millis(delay), event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { node, caller } => self.arrive(node, caller),
            Event::WaitEnds { node, id } => {
                if let Some(waiter) = self.nodes[node].give_up(id) {
                    let record = self.records.entry(waiter.caller).or_default();
                    record.no_credit.push(waiter.arrived);
                }
            }
            Event::NodePeriod { node } => {
                self.after(NODE_PERIOD, Event::NodePeriod { node });
                if self.nodes[node].in_flight.is_none() {
                    self.ask_keeper(node);
                }
            }
            Event::NodeTimeout { node, number } => {
                if self.nodes[node].in_flight == Some(number) {
                    self.follow_next(node);
                }
            }
            Event::NodeRetry { node } => self.ask_if_waiting(node),
            Event::AtKeeper { keeper, node, req } => self.at_keeper(keeper, node, req),
            Event::PendingEnds { keeper, id } => self.end_pending(keeper, Some(id)),
            Event::AtNode { node, reply } => self.at_node(node, &reply),
            Event::KeeperPeriod { keeper } => {
                self.after(KEEPER_PERIOD, Event::KeeperPeriod { keeper });
                self.ask_issuer(keeper);
            }
            Event::KeeperTimeout { keeper, number } => {
                if self.keepers[keeper].in_flight == Some(number) {
                    self.keepers[keeper].in_flight = None;
                }
            }
            Event::AtIssuer { keeper, to, req } => self.at_issuer(keeper, to, &req),
            Event::FromIssuer { keeper, reply } => self.apply_grants(keeper, &reply),
            Event::NodeRestarts { node } => {
                let keeper = self.nodes[node].keeper;
                self.nodes[node] = SimNode::new(keeper, self.rng.random());
            }
            Event::KeeperStops { keeper, until } => {
                self.keepers[keeper] = SimKeeper::new(self.rng.random());
                self.keepers[keeper].down_until = until;
            }
            Event::Elected { keeper } => self.elect(keeper),
            Event::QuotaChanges {
                caller,
                thousandths,
                burst,
            } => self.set_quota(caller, super::quota(thousandths, burst)),
        }
    }

    fn elect(&mut self, keeper: usize) {
        self.keepers[self.issuer].issuer = None;
        self.issuer = keeper;
        let id = self.rng.random();
        let issuer = Issuer::new(self.options.credit.clone(), id, self.now);
        self.keepers[keeper].issuer = Some(issuer);
    }
}
