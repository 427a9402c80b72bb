//! When backups learn of commits, and how long leases hold.

mod bus;

use std::time::Duration;

use bus::Bus;
use bus::schedule::SEEDS;
use shallothill_core::ids::KeeperId;
use shallothill_replica::{Event, ProtocolFaults, ReadToken, ReplicaOptions};

/// Guards against a primary that was cut off and still serves reads by its lease, while the others,
/// which do not remember it after a restart, have elected another one.
#[test]
fn holds_leases_outlast_restarts_of_voters() {
    for seed in SEEDS {
        let mut bus = Bus::formed(seed, 3, ProtocolFaults::default());
        bus.accept_one(1000).expect("accepted");
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
            bus.event(old, Event::Read { token });
            for id in &others {
                bus.propose(*id);
            }
            let applied = bus.ready.get(&token);
            assert!(applied.is_none_or(|a| *a >= accepted), "seed {seed}");
        }
        assert!(bus.accepted.len() > 50, "seed {seed}");
    }
}

/// Guards against changes that backups may serve only with the next heartbeat.
#[test]
fn backups_hear_of_a_commit_at_once() {
    let slow = ReplicaOptions {
        heartbeat: Duration::from_millis(2000),
        lease: Duration::from_millis(3000),
        election_timeout: Duration::from_millis(5000),
        ..bus::options(7)
    };
    let mut bus = Bus::new_group(7, 3, slow);
    bus.run_until(30_000, |b| b.primary().is_some());
    let op = bus.accept_one(10_000).expect("accepted");

    bus.run(100);

    for id in 1..=3 {
        assert!(bus.commit(id) >= op, "member {id}");
    }
}
