//! A simulated network of gates and keepers under virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use shallothill_core::ids::{EndpointId, EndpointName, KeeperId, NodeName, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_directory::{
    HolderState, LeaseHolder, LeaseOptions, LeaseReply, LeaseRequest, LeaseTable, ReleaseRequest,
};

pub const KEEPER_COUNT: u32 = 3;
pub const TIME_STEP: Duration = Duration::from_millis(100);

#[derive(Clone)]
enum Message {
    Request(KeeperId, LeaseRequest),
    Reply(usize, LeaseReply),
    Release(KeeperId, ReleaseRequest),
}

/// The share of messages that are lost or repeated, and the longest delay of a message.
#[derive(Clone, Copy)]
pub struct NetworkFaults {
    pub lost_tenths: u8,
    pub repeated_tenths: u8,
    pub max_delay_ms: u64,
}

/// Lease holders and lease tables that exchange messages over a faulty network.
pub struct Simulation {
    pub now: Millis,
    pub budget: u32,
    pub tables: Vec<LeaseTable>,
    pub holders: Vec<LeaseHolder>,
    /// For each keeper, whether all messages to it are lost.
    pub unreachable: Vec<bool>,
    pub table_options: LeaseOptions,
    in_flight: BTreeMap<(Millis, u64), Message>,
    sent_count: u64,
    faults: NetworkFaults,
}

pub fn endpoint(i: usize) -> EndpointId {
    EndpointId {
        service: ServiceName::try_new("courier").unwrap(),
        node: NodeName::try_new(&format!("n{i}")).unwrap(),
        name: EndpointName::try_new("a").unwrap(),
    }
}

pub fn region() -> Region {
    Region::try_new("ege").unwrap()
}

pub fn keepers() -> Vec<KeeperId> {
    (0..KEEPER_COUNT).map(KeeperId).collect()
}

pub fn holder(i: usize, incarnation: u64) -> LeaseHolder {
    let incarnation = Incarnation(incarnation);
    let options = LeaseOptions::default();
    LeaseHolder::new(endpoint(i), region(), &keepers(), incarnation, options)
}

impl Simulation {
    pub fn new(holders: usize, budget: u32, faults: NetworkFaults) -> Self {
        Self::with_options(holders, budget, faults, LeaseOptions::default())
    }

    pub fn with_options(
        holders: usize,
        budget: u32,
        faults: NetworkFaults,
        options: LeaseOptions,
    ) -> Self {
        let table = |k| LeaseTable::new(k, Millis(0), options.clone());
        Self {
            now: Millis(0),
            budget,
            tables: keepers().into_iter().map(table).collect::<Vec<_>>(),
            holders: (0..holders).map(|i| holder(i, 1)).collect(),
            unreachable: vec![false; KEEPER_COUNT as usize],
            table_options: options,
            in_flight: BTreeMap::new(),
            sent_count: 0,
            faults,
        }
    }

    fn send(&mut self, u: &mut Unstructured<'_>, message: Message) -> Result<()> {
        if u.int_in_range(0..=9)? < self.faults.lost_tenths {
            return Ok(());
        }
        let copies = 1 + u8::from(u.int_in_range(0..=9)? < self.faults.repeated_tenths);
        for _ in 0..copies {
            let delay = u.int_in_range(1..=self.faults.max_delay_ms)?;
            self.sent_count += 1;
            let at = self.now + Duration::from_millis(delay);
            self.in_flight
                .insert((at, self.sent_count), message.clone());
        }
        Ok(())
    }

    pub fn send_release(&mut self, u: &mut Unstructured<'_>, r: &ReleaseRequest) -> Result<()> {
        keepers()
            .into_iter()
            .try_for_each(|k| self.send(u, Message::Release(k, r.clone())))
    }

    /// Advances the time by one step: every holder polls, and due messages arrive.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now = self.now + TIME_STEP;
        for i in 0..self.holders.len() {
            if let Some(req) = self.holders[i].poll(self.now) {
                for k in keepers() {
                    self.send(u, Message::Request(k, req.clone()))?;
                }
            }
        }
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let message = entry.remove();
            self.deliver(u, message)?;
        }
        Ok(())
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>, message: Message) -> Result<()> {
        match message {
            Message::Request(k, _) | Message::Release(k, _) if self.unreachable[k.0 as usize] => {}
            Message::Request(k, req) => {
                let reply = self.tables[k.0 as usize].handle_request(self.now, &req, self.budget);
                let holder = (0..self.holders.len()).find(|i| endpoint(*i) == req.endpoint);
                if let Some(i) = holder {
                    self.send(u, Message::Reply(i, reply))?;
                }
            }
            Message::Release(k, req) => self.tables[k.0 as usize].handle_release(&req),
            Message::Reply(i, reply) => {
                if let Some(release) = self.holders[i].on_reply(self.now, &reply) {
                    self.send_release(u, &release)?;
                }
            }
        }
        Ok(())
    }

    pub fn holding_count(&self) -> usize {
        let is_holding = |h: &&LeaseHolder| h.state(self.now) == HolderState::Holding;
        self.holders.iter().filter(is_holding).count()
    }
}
