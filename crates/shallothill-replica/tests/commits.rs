//! How soon backups learn of commits, and how long leases stay valid.

mod bus;

use std::time::Duration;

use bus::Bus;
use bus::schedule::SEEDS;
use shallothill_core::ids::KeeperId;
use shallothill_replica::{Event, ProtocolFaults, ReadToken, ReplicaOptions};

/// Guards against stale reads at a primary that was cut off and still has a lease: the other
/// members do not remember it after a restart, and could elect another primary before the lease
/// expires.
#[test]
fn holds_leases_outlast_restarts_of_voters() {
    for seed in SEEDS {
        let mut bus = Bus::with_primary(seed, 3, ProtocolFaults::default());
        bus.propose_until_accepted(1000).expect("accepted");
        let old = bus.primary().expect("a primary");
        let others: Vec<KeeperId> = bus.hosts.keys().copied().filter(|k| *k != old).collect();
        for id in &others {
            bus.cut(old.0, id.0);
            bus.cut(id.0, old.0);
        }
        for id in &others {
            bus.crash(*id);
            bus.restart(*id);
        }
        for i in 0..400 {
            bus.run(5);
            let accepted = bus.accepted.values().map(|op| op.0).max().unwrap_or(0);
            let token = ReadToken(i);
            bus.handle_event(old, Event::Read { token });
            for id in &others {
                bus.propose(*id);
            }
            let applied = bus.ready_reads.get(&token);
            assert!(applied.is_none_or(|a| *a >= accepted), "seed {seed}");
        }
        assert!(bus.accepted.len() > 50, "seed {seed}");
    }
}

/// Guards against backups that learn of a commit only with the next heartbeat, and so apply and
/// serve the change late.
#[test]
fn backups_learn_of_a_commit_at_once() {
    let slow = ReplicaOptions {
        heartbeat: Duration::from_millis(2000),
        lease: Duration::from_millis(3000),
        election_timeout: Duration::from_millis(5000),
        ..bus::options(7)
    };
    let mut bus = Bus::new_group(7, 3, slow);
    bus.run_until(30_000, |b| b.primary().is_some());
    let op = bus.propose_until_accepted(10_000).expect("accepted");

    bus.run(100);

    for id in 1..=3 {
        assert!(bus.commit(id) >= op, "member {id}");
    }
}
