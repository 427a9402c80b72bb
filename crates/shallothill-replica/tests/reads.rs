//! Reads at the primary, at former primaries and after a suspension.

mod bus;

use std::time::Duration;

use bus::Bus;
use bus::schedule::SEEDS;
use shallothill_core::ids::KeeperId;
use shallothill_replica::{Event, ProtocolFaults, ReadToken};

/// How long the primary is suspended; another one is elected in a part of that time.
const SUSPENSION_MS: u64 = 5000;

fn group(seed: u64) -> Bus {
    Bus::with_primary(seed, 3, ProtocolFaults::default())
}

/// Guards against reads that miss an entry that was accepted before, in particular at a former
/// primary.
#[test]
fn holds_reads_see_what_was_accepted() {
    for seed in SEEDS {
        let mut bus = group(seed);
        bus.propose_until_accepted(1000).expect("accepted");
        let old = bus.primary().expect("a primary");
        bus.isolate(old, seed % 3 == 1, seed % 3 == 2);
        for i in 0..300 {
            bus.run(10);
            let accepted = bus.accepted.values().map(|op| op.0).max().unwrap_or(0);
            let (token, current) = (ReadToken(i * 2), ReadToken(i * 2 + 1));
            bus.handle_event(old, Event::Read { token });
            let primary = bus.primary().unwrap_or(old);
            bus.handle_event(primary, Event::Read { token: current });
            bus.propose(primary);
            bus.run(5);
            for token in [token, current] {
                let applied = bus.ready_reads.get(&token);
                assert!(applied.is_none_or(|a| *a >= accepted), "seed {seed}");
            }
        }
        assert!(
            bus.ready_reads.len() > 50,
            "seed {seed}: {}",
            bus.ready_reads.len()
        );
        assert!(!bus.refused_reads.is_empty(), "seed {seed}");
    }
}

/// Suspends the primary while another one accepts a request; returns whether the first read after
/// the suspension misses that request.
fn first_read_is_too_old(clock_counts_suspensions: bool) -> bool {
    let mut bus = group(8);
    bus.propose_until_accepted(1000).expect("accepted");
    let old = bus.primary().expect("a primary");
    let until = bus.now + SUSPENSION_MS;
    // Messages that are sent meanwhile arrive after the read.
    bus.isolate(old, false, false);
    if let Some(host) = bus.hosts.get_mut(&old) {
        host.frozen_until = until;
    }
    bus.propose_until_accepted(4000).expect("accepted");
    let accepted = bus.accepted.values().map(|op| op.0).max().unwrap_or(0);
    bus.run(until - bus.now);
    if let Some(host) = bus.hosts.get_mut(&old)
        && !clock_counts_suspensions
    {
        host.clock_behind = SUSPENSION_MS;
    }
    let token = ReadToken(1);
    bus.handle_event(old, Event::Read { token });
    bus.ready_reads.get(&token).is_some_and(|a| *a < accepted)
}

/// Guards against a former primary that answers reads by a lease which has outlived a suspension of
/// its host; the clock of a replica has to count that time.
#[test]
fn a_lease_ends_during_a_suspension() {
    assert!(!first_read_is_too_old(true));
    assert!(first_read_is_too_old(false));
}

/// Guards against reads that are not served without a lease although a majority answers a round.
#[test]
fn reads_without_a_lease_take_a_round() {
    let mut bus = group(5);
    bus.options.lease = Duration::ZERO;
    for host in bus.hosts.values_mut() {
        host.options.lease = Duration::ZERO;
    }
    for id in 1..=3 {
        bus.crash(KeeperId(id));
        bus.restart(KeeperId(id));
    }
    bus.propose_until_accepted(5000).expect("accepted");
    let primary = bus.primary().expect("a primary");

    bus.handle_event(
        primary,
        Event::Read {
            token: ReadToken(1),
        },
    );
    let served_at_once = bus.ready_reads.contains_key(&ReadToken(1));
    bus.run(100);

    assert!(!served_at_once && bus.ready_reads.contains_key(&ReadToken(1)));
}
