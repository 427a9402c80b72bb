//! A small network of gates and keepers under virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use shallothill_core::ids::{EndpointId, EndpointName, KeeperId, NodeName, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_directory::{
    HolderState, LeaseHolder, LeaseOptions, LeaseReply, LeaseRequest, LeaseTable, ReleaseRequest,
};

pub const KEEPERS: u32 = 3;
pub const STEP: Duration = Duration::from_millis(100);

#[derive(Clone)]
enum Message {
    Ask(KeeperId, LeaseRequest),
    Reply(usize, LeaseReply),
    Release(KeeperId, ReleaseRequest),
}

/// How messages are treated, in tenths of all messages.
#[derive(Clone, Copy)]
pub struct Network {
    pub lost: u8,
    pub repeated: u8,
    pub longest_delay_ms: u64,
}

pub struct World {
    pub now: Millis,
    pub budget: u32,
    pub members: Vec<LeaseTable>,
    pub holders: Vec<LeaseHolder>,
    pub cut: Vec<bool>,
    pub member_options: LeaseOptions,
    in_flight: BTreeMap<(Millis, u64), Message>,
    sent: u64,
    network: Network,
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
    (0..KEEPERS).map(KeeperId).collect()
}

pub fn holder(i: usize, incarnation: u64) -> LeaseHolder {
    let life = Incarnation(incarnation);
    let options = LeaseOptions::default();
    LeaseHolder::new(endpoint(i), region(), &keepers(), life, options)
}

impl World {
    pub fn new(holders: usize, budget: u32, network: Network) -> Self {
        Self::with(holders, budget, network, LeaseOptions::default())
    }

    pub fn with(holders: usize, budget: u32, network: Network, options: LeaseOptions) -> Self {
        let member = |k| LeaseTable::new(k, Millis(0), options.clone());
        Self {
            now: Millis(0),
            budget,
            members: keepers().into_iter().map(member).collect::<Vec<_>>(),
            holders: (0..holders).map(|i| holder(i, 1)).collect(),
            cut: vec![false; KEEPERS as usize],
            member_options: options,
            in_flight: BTreeMap::new(),
            sent: 0,
            network,
        }
    }

    fn send(&mut self, u: &mut Unstructured<'_>, message: Message) -> Result<()> {
        if u.int_in_range(0..=9)? < self.network.lost {
            return Ok(());
        }
        let copies = 1 + u8::from(u.int_in_range(0..=9)? < self.network.repeated);
        for _ in 0..copies {
            let delay = u.int_in_range(1..=self.network.longest_delay_ms)?;
            self.sent += 1;
            let at = self.now + Duration::from_millis(delay);
            self.in_flight.insert((at, self.sent), message.clone());
        }
        Ok(())
    }

    pub fn send_release(&mut self, u: &mut Unstructured<'_>, r: &ReleaseRequest) -> Result<()> {
        keepers()
            .into_iter()
            .try_for_each(|k| self.send(u, Message::Release(k, r.clone())))
    }

    /// Moves time on by one step: every holder polls, due messages arrive.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now = self.now + STEP;
        for i in 0..self.holders.len() {
            if let Some(req) = self.holders[i].poll(self.now) {
                for k in keepers() {
                    self.send(u, Message::Ask(k, req.clone()))?;
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
            Message::Ask(k, _) | Message::Release(k, _) if self.cut[k.0 as usize] => {}
            Message::Ask(k, req) => {
                let reply = self.members[k.0 as usize].request(self.now, &req, self.budget);
                let found = (0..self.holders.len()).find(|i| endpoint(*i) == req.endpoint);
                if let Some(i) = found {
                    self.send(u, Message::Reply(i, reply))?;
                }
            }
            Message::Release(k, req) => self.members[k.0 as usize].release(&req),
            Message::Reply(i, reply) => {
                if let Some(release) = self.holders[i].on_reply(self.now, &reply) {
                    self.send_release(u, &release)?;
                }
            }
        }
        Ok(())
    }

    pub fn holding(&self) -> usize {
        let held = |h: &&LeaseHolder| h.state(self.now) == HolderState::Holding;
        self.holders.iter().filter(held).count()
    }
}
