//! Simulated members with disks, and the gates that claim one key.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_ledger::{
    ClaimOutcome, Claimant, LedgerMember, LedgerOptions, LedgerRecord, MemberStatus, Recovery,
};

use super::network::{Message, Network};
use super::{claim, key, now};

/// `Fault` is a deliberate fault of the simulation that must break the at-most-once guarantee.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    ReplyBeforeSync,
    IgnoreIncarnations,
    RecoverFromOne,
    WithdrawAfterDispatch,
}

struct Disk {
    durable: Vec<LedgerRecord>,
    pending: Vec<LedgerRecord>,
}

struct Keeper {
    member: LedgerMember,
    disk: Disk,
    recovery: Option<Recovery>,
}

struct Gate {
    claimant: Claimant,
    finished: bool,
}

/// `Simulation` runs the members and gates of one group step by step and counts dispatches.
pub struct Simulation {
    pub net: Network,
    pub dispatched: usize,
    ids: Vec<KeeperId>,
    keepers: BTreeMap<KeeperId, Keeper>,
    gates: Vec<Gate>,
    last_incarnation: u64,
    fault: Fault,
}

impl Simulation {
    pub fn new(size: u32, fault: Fault) -> Self {
        let ids: Vec<KeeperId> = (1..=size).map(KeeperId).collect();
        let first = LedgerRecord::Ready {
            incarnation: Incarnation(1),
        };
        let keeper = |id: &KeeperId| {
            let disk = Disk {
                durable: vec![first.clone()],
                pending: Vec::new(),
            };
            (
                *id,
                Keeper {
                    member: member_from_records(*id, &ids, &disk.durable),
                    disk,
                    recovery: None,
                },
            )
        };
        let keepers = ids.iter().map(keeper).collect();
        let net = Network::default();
        Self {
            net,
            dispatched: 0,
            ids,
            keepers,
            gates: Vec::new(),
            last_incarnation: 1,
            fault,
        }
    }

    /// `start_claim` adds a gate that claims the key at every member.
    pub fn start_claim(&mut self) {
        let n = self.gates.len();
        let claimant = Claimant::new(key(), claim(n as u64), &self.ids);
        self.gates.push(Gate {
            claimant,
            finished: false,
        });
        self.repeat_claim(n);
    }

    /// `repeat_claim` sends a gate's claim to every member, also when it was sent before.
    pub fn repeat_claim(&mut self, gate: usize) {
        for to in &self.ids {
            let req = self.gates[gate].claimant.claim_request();
            self.net.send(Message::Claim { to: *to, gate, req });
        }
    }

    pub fn gate_count(&self) -> usize {
        self.gates.len()
    }

    /// `time_out_gate` ends a gate's wait for replies.
    pub fn time_out_gate(&mut self, gate: usize) {
        if !self.gates[gate].finished {
            let outcome = self.gates[gate].claimant.final_outcome(now()).clone();
            self.record_outcome(gate, &outcome);
        }
    }

    /// `deliver` delivers the message at `i` of the network; with `repeat`, it arrives again later.
    pub fn deliver(&mut self, i: usize, repeat: bool) {
        match self.net.take(i, repeat) {
            Message::Claim { to, gate, req } => {
                let keeper = self.keepers.get_mut(&to).unwrap();
                let (reply, records) = keeper.member.claim(now(), &req);
                keeper.disk.pending.extend(records);
                self.sync_before_reply(to);
                self.net.send(Message::ClaimReply { gate, reply });
            }
            Message::ClaimReply { gate, mut reply } => {
                if self.fault == Fault::IgnoreIncarnations {
                    reply.known_incarnations.clear();
                }
                let outcome = self.gates[gate].claimant.on_reply(now(), reply).cloned();
                if let Some(outcome) = outcome {
                    self.record_outcome(gate, &outcome);
                }
            }
            Message::Withdraw { to, req } => {
                let keeper = self.keepers.get_mut(&to).unwrap();
                let records = keeper.member.withdraw(&req).unwrap_or_default();
                keeper.disk.pending.extend(records);
            }
            Message::Recover { to, req } => {
                let keeper = self.keepers.get_mut(&to).unwrap();
                if let Some((reply, records)) = keeper.member.on_recovery_request(&req) {
                    keeper.disk.pending.extend(records);
                    self.sync_before_reply(to);
                    self.net.send(Message::RecoveryReply {
                        to: req.from,
                        reply,
                    });
                }
            }
            Message::RecoveryReply { to, reply } => self.on_recovery_reply(to, reply),
        }
    }

    /// `deliver_all` delivers every message that `matches` accepts, also those sent meanwhile.
    pub fn deliver_all(&mut self, matches: impl Fn(&Message) -> bool) {
        while let Some(i) = self.net.find(&matches) {
            self.deliver(i, false);
        }
    }

    /// `crash` restarts a member, which loses the records that it had not synced.
    pub fn crash(&mut self, id: KeeperId) {
        let keeper = self.keepers.get_mut(&id).unwrap();
        keeper.disk.pending.clear();
        keeper.member = member_from_records(id, &self.ids, &keeper.disk.durable);
        if keeper.member.status() == MemberStatus::Recovering {
            self.start_recovery(id);
        }
    }

    /// `sync` makes every record durable that a member has written.
    pub fn sync(&mut self, id: KeeperId) {
        let disk = &mut self.keepers.get_mut(&id).unwrap().disk;
        disk.durable.append(&mut disk.pending);
    }

    /// `lose_disk` empties a member's disk, unless a member is still recovering.
    pub fn lose_disk(&mut self, id: KeeperId) {
        if self
            .keepers
            .values()
            .all(|k| k.member.status() == MemberStatus::Ready)
        {
            let keeper = self.keepers.get_mut(&id).unwrap();
            keeper.disk = Disk {
                durable: Vec::new(),
                pending: Vec::new(),
            };
            self.crash(id);
        }
    }

    /// `repeat_recovery` sends the outstanding requests of every recovery again.
    pub fn repeat_recovery(&mut self) {
        for id in self.ids.clone() {
            self.send_recovery_requests(id);
        }
    }

    pub fn status(&self, id: KeeperId) -> MemberStatus {
        self.keepers[&id].member.status()
    }

    pub fn keepers(&self) -> &[KeeperId] {
        &self.ids
    }

    fn sync_before_reply(&mut self, id: KeeperId) {
        if self.fault != Fault::ReplyBeforeSync {
            self.sync(id);
        }
    }

    fn record_outcome(&mut self, gate: usize, outcome: &ClaimOutcome) {
        if self.gates[gate].finished {
            return;
        }
        self.gates[gate].finished = true;
        let granted = *outcome == ClaimOutcome::Granted;
        if granted {
            self.dispatched += 1;
        }
        if !granted || self.fault == Fault::WithdrawAfterDispatch {
            for to in &self.ids {
                let req = self.gates[gate].claimant.withdraw_request();
                self.net.send(Message::Withdraw { to: *to, req });
            }
        }
    }

    fn start_recovery(&mut self, id: KeeperId) {
        self.last_incarnation += 1;
        let recovery = Recovery::new(id, Incarnation(self.last_incarnation), &self.ids);
        self.keepers.get_mut(&id).unwrap().recovery = Some(recovery);
        self.send_recovery_requests(id);
    }

    fn send_recovery_requests(&mut self, id: KeeperId) {
        let Some(recovery) = &self.keepers[&id].recovery else {
            return;
        };
        for to in self.ids.iter().filter(|to| **to != id) {
            if let Some(req) = recovery.next_request(*to) {
                self.net.send(Message::Recover { to: *to, req });
            }
        }
    }

    fn on_recovery_reply(&mut self, to: KeeperId, mut reply: shallothill_ledger::RecoveryReply) {
        let keeper = self.keepers.get_mut(&to).unwrap();
        let Some(recovery) = &mut keeper.recovery else {
            return;
        };
        recovery.on_reply(reply.clone());
        if self.fault == Fault::RecoverFromOne {
            // One member's entries under the ids of all other members look like a majority.
            for other in self.ids.iter().filter(|i| **i != to) {
                reply.member = *other;
                recovery.on_reply(reply.clone());
            }
        }
        if let Some(records) = recovery.try_finish() {
            keeper.disk.durable = records;
            keeper.disk.pending.clear();
            keeper.recovery = None;
            keeper.member = member_from_records(to, &self.ids, &keeper.disk.durable);
        }
    }
}

fn member_from_records(id: KeeperId, ids: &[KeeperId], records: &[LedgerRecord]) -> LedgerMember {
    let mut member =
        LedgerMember::try_new(id, ids, Incarnation(0), LedgerOptions::default()).unwrap();
    for record in records {
        member.apply(record);
    }
    member
}
