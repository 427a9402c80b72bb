//! Random schedules of faults, and the verification after them.

use rand::Rng;
use shallothill_core::ids::KeeperId;
use shallothill_replica::{Op, ProtocolFaults};

use crate::bus::host::Host;
use crate::bus::{Bus, FaultRates};

/// The seeds that all tests use.
pub const SEEDS: [u64; 24] = [
    1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144, 233, 377, 610, 987, 1597, 2584, 4181, 6765, 10946,
    17711, 28657, 46368, 75025,
];

/// Starts or ends a random fault, or does nothing.
fn inject_random_fault(bus: &mut Bus, with_members: bool) {
    let ids: Vec<KeeperId> = bus.hosts.keys().copied().collect();
    let id = ids[bus.rng.random_range(0..ids.len())];
    let other = ids[bus.rng.random_range(0..ids.len())];
    match bus.rng.random_range(0..1000) {
        0..6 => bus.crash(id),
        6..46 => {
            bus.restart_if_down(id);
        }
        46..54 => {
            bus.cut_links.insert((id, other));
        }
        54..72 => bus.cut_links.clear(),
        72..78 => {
            let until = bus.now + bus.rng.random_range(100..5000);
            bus.hosts.get_mut(&id).expect("a host").frozen_until = until;
        }
        78..86 => lose_disk_if_majority_remains(bus, id),
        86..96 if with_members => change_random_member(bus),
        // A power failure of all hosts reveals what was acknowledged before it was durable.
        96..99 => ids.into_iter().for_each(|id| bus.crash(id)),
        _ => {}
    }
}

// Loses a disk only if a majority of complete members remains, since a smaller group cannot
// recover.
fn lose_disk_if_majority_remains(bus: &mut Bus, id: KeeperId) {
    let majority_remains = bus.memberships().iter().all(|members| {
        let complete = |k: &&KeeperId| **k != id && !bus.hosts[k].needs_recovery;
        members.iter().filter(complete).count() > members.len() / 2
    });
    if majority_remains && bus.members().contains(&id) {
        bus.lose_disk(id);
    }
}

fn change_random_member(bus: &mut Bus) {
    let Some(primary) = bus.primary() else {
        return;
    };
    let mut members = bus.members();
    let next = bus.hosts.keys().map(|k| k.0).max().unwrap_or(0) + 1;
    if members.len() > 3 && bus.rng.random_range(0..2) == 0 {
        let at = bus.rng.random_range(0..members.len());
        members.remove(at);
    } else if members.len() < 7 && next < 12 {
        members.push(KeeperId(next));
        bus.add_host(KeeperId(next), members.clone(), false);
    }
    bus.change_members(primary, members);
}

/// Runs a group of `n` members through 40 s of random faults, then ends them and verifies the
/// result.
pub fn run_schedule(seed: u64, n: u32, with_members: bool, protocol_faults: ProtocolFaults) -> Bus {
    let mut bus = Bus::with_primary(seed, n, protocol_faults);
    bus.fault_rates = FaultRates {
        message_drop: 30,
        message_duplicate: 50,
        crash: 1,
        message_delay: 20,
    };
    for _ in 0..2000 {
        inject_random_fault(&mut bus, with_members);
        let ids: Vec<KeeperId> = bus.hosts.keys().copied().collect();
        let to = ids[bus.rng.random_range(0..ids.len())];
        let to = bus.primary().unwrap_or(to);
        bus.propose(to);
        bus.run(20);
    }
    bus.end_faults_and_verify();
    bus
}

impl Bus {
    /// Proposes to the primary until a request is accepted, for about `within` ms.
    pub fn propose_until_accepted(&mut self, within: u64) -> Option<Op> {
        let end = self.now + within;
        while self.now < end {
            if let Some(primary) = self.primary() {
                let id = self.propose(primary);
                self.run_until(500, |b| b.results.contains_key(&id));
                if let Some(op) = self.accepted.get(&id) {
                    return Some(*op);
                }
            }
            self.run(100);
        }
        None
    }

    /// Ends all faults, then verifies that the group accepts a request and that no member lacks an
    /// accepted one.
    pub fn end_faults_and_verify(&mut self) {
        self.fault_rates = FaultRates::default();
        self.cut_links.clear();
        let ids: Vec<KeeperId> = self.hosts.keys().copied().collect();
        for id in ids {
            self.restart_if_down(id);
        }
        let Some(op) = self.propose_until_accepted(60_000) else {
            self.violations
                .push("no request is accepted after the faults ended".to_owned());
            return;
        };
        // An earlier request to change the members may still take effect here, so the members are
        // read each time.
        let applied = |b: &Self| {
            let of_member = |k: &KeeperId| b.hosts.get(k).is_some_and(|h| h.applied >= op);
            let members = b.members();
            !members.is_empty() && members.iter().all(of_member)
        };
        if !self.run_until(60_000, applied) {
            self.violations
                .push("a member does not catch up".to_owned());
        }
        let members = self.members();
        for (request, op) in &self.accepted {
            for (id, host) in self.hosts.iter().filter(|(k, _)| members.contains(k)) {
                if host.state_machine.get(op) != Some(request) {
                    let rule = format!("{id}: lost accepted request {request:?} at {op}");
                    self.violations.push(rule);
                }
            }
        }
    }

    /// Returns the members according to each disk, and those of a change that is not answered.
    pub fn memberships(&self) -> Vec<Vec<KeeperId>> {
        let last = self.requested_changes.last_key_value();
        let pending = last.filter(|(id, _)| !self.results.contains_key(id));
        let on_disk = self.hosts.values().filter_map(Host::members);
        on_disk.chain(pending.map(|(_, m)| m.clone())).collect()
    }

    /// Returns the members according to the primary.
    pub fn members(&self) -> Vec<KeeperId> {
        let primary = self.primary().and_then(|k| self.hosts.get(&k));
        let replica = primary.and_then(|h| h.replica.as_ref());
        replica.map_or(Vec::new(), |r| r.status().members)
    }
}
