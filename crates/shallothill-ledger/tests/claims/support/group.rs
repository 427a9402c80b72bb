//! Members with simulated disks, and the gates that claim one key.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_ledger::{
    ClaimOutcome, Claimant, LedgerMember, LedgerOptions, LedgerRecord, MemberStatus, Recovery,
};

use super::network::{Message, Network};
use super::{claim, key, now};

/// `Fault` is a deliberate mistake of the harness that must make the invariant fail.
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

/// `Group` runs members and gates step by step and counts dispatches.
pub struct Group {
    pub net: Network,
    pub dispatched: usize,
    ids: Vec<KeeperId>,
    keepers: BTreeMap<KeeperId, Keeper>,
    gates: Vec<Gate>,
    incarnations: u64,
    fault: Fault,
}

impl Group {
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
                    member: replayed(*id, &ids, &disk.durable),
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
            incarnations: 1,
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

    /// `repeat_claim` sends a gate's claim once more.
    pub fn repeat_claim(&mut self, gate: usize) {
        for to in &self.ids {
            let req = self.gates[gate].claimant.claim_request();
            self.net.send(Message::Claim { to: *to, gate, req });
        }
    }

    pub fn gates(&self) -> usize {
        self.gates.len()
    }

    /// `final_outcome` ends a gate's wait for answers.
    pub fn final_outcome(&mut self, gate: usize) {
        if !self.gates[gate].finished {
            let verdict = self.gates[gate].claimant.final_outcome(now()).clone();
            self.finish(gate, &verdict);
        }
    }

    /// `deliver` hands over the message at `i` of the network.
    pub fn deliver(&mut self, i: usize, repeat: bool) {
        match self.net.take(i, repeat) {
            Message::Claim { to, gate, req } => {
                let keeper = self.keepers.get_mut(&to).unwrap();
                let (reply, records) = keeper.member.claim(now(), &req);
                keeper.disk.pending.extend(records);
                self.before_reply(to);
                self.net.send(Message::ClaimReply { gate, reply });
            }
            Message::ClaimReply { gate, mut reply } => {
                if self.fault == Fault::IgnoreIncarnations {
                    reply.known_incarnations.clear();
                }
                let verdict = self.gates[gate].claimant.on_reply(now(), reply).cloned();
                if let Some(verdict) = verdict {
                    self.finish(gate, &verdict);
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
                    self.before_reply(to);
                    self.net.send(Message::RecoveryReply {
                        to: req.from,
                        reply,
                    });
                }
            }
            Message::RecoveryReply { to, reply } => self.on_recovery_reply(to, reply),
        }
    }

    /// `deliver_all` hands over every message that `wanted` accepts, also those that follow.
    pub fn deliver_all(&mut self, wanted: impl Fn(&Message) -> bool) {
        while let Some(i) = self.net.find(&wanted) {
            self.deliver(i, false);
        }
    }

    /// `crash` restarts a member; what it had not synced is lost.
    pub fn crash(&mut self, id: KeeperId) {
        let keeper = self.keepers.get_mut(&id).unwrap();
        keeper.disk.pending.clear();
        keeper.member = replayed(id, &self.ids, &keeper.disk.durable);
        if keeper.member.status() == MemberStatus::Recovering {
            self.start_recovery(id);
        }
    }

    /// `sync` makes everything that a member has written durable.
    pub fn sync(&mut self, id: KeeperId) {
        let disk = &mut self.keepers.get_mut(&id).unwrap().disk;
        disk.durable.append(&mut disk.pending);
    }

    /// `lose_disk` empties a member's disk, unless another one is still being repaired.
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

    /// `repeat_recovery` sends the requests of every running recovery again.
    pub fn repeat_recovery(&mut self) {
        for id in self.ids.clone() {
            self.send_recovery(id);
        }
    }

    pub fn status(&self, id: KeeperId) -> MemberStatus {
        self.keepers[&id].member.status()
    }

    pub fn ids(&self) -> &[KeeperId] {
        &self.ids
    }

    fn before_reply(&mut self, id: KeeperId) {
        if self.fault != Fault::ReplyBeforeSync {
            self.sync(id);
        }
    }

    fn finish(&mut self, gate: usize, verdict: &ClaimOutcome) {
        if self.gates[gate].finished {
            return;
        }
        self.gates[gate].finished = true;
        let granted = *verdict == ClaimOutcome::Granted;
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
        self.incarnations += 1;
        let recovery = Recovery::new(id, Incarnation(self.incarnations), &self.ids);
        self.keepers.get_mut(&id).unwrap().recovery = Some(recovery);
        self.send_recovery(id);
    }

    fn send_recovery(&mut self, id: KeeperId) {
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
            // The same entries under the names of all others look like enough answers.
            for other in self.ids.iter().filter(|i| **i != to) {
                reply.member = *other;
                recovery.on_reply(reply.clone());
            }
        }
        if let Some(records) = recovery.try_finish() {
            keeper.disk.durable = records;
            keeper.disk.pending.clear();
            keeper.recovery = None;
            keeper.member = replayed(to, &self.ids, &keeper.disk.durable);
        }
    }
}

fn replayed(id: KeeperId, ids: &[KeeperId], records: &[LedgerRecord]) -> LedgerMember {
    let mut member =
        LedgerMember::try_new(id, ids, Incarnation(0), LedgerOptions::default()).unwrap();
    for record in records {
        member.apply(record);
    }
    member
}
