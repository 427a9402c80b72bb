//! Single situations that random schedules seldom reach.

mod bus;

use std::collections::BTreeMap;

use bus::Bus;
use bus::schedule::SEEDS;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_replica::{
    DurableState, EntryId, Event, HardState, MemberState, Message, Op, ProposeResult,
    ProtocolFaults, ReadToken, Replica, ReplicaOptions, Role, SyncToken, View,
};

fn k(id: u32) -> KeeperId {
    KeeperId(id)
}

fn group(seed: u64) -> Bus {
    Bus::formed(seed, 3, ProtocolFaults::default())
}

fn cut_off(bus: &mut Bus, id: KeeperId, hears: bool, is_heard: bool) {
    for other in bus.hosts.keys().copied().collect::<Vec<_>>() {
        if !hears {
            bus.cuts.insert((other, id));
        }
        if !is_heard {
            bus.cuts.insert((id, other));
        }
    }
}

/// The number of views that a replica causes after some time without contact.
fn views_after_isolation(broken: ProtocolFaults, ms: u64) -> u64 {
    let mut bus = Bus::formed(4, 3, broken);
    let primary = bus.primary().expect("a primary");
    let isolated = if primary == k(1) { k(2) } else { k(1) };
    let before = bus.view();
    cut_off(&mut bus, isolated, false, false);
    bus.run(ms);
    bus.cuts.clear();
    bus.run(5000);
    bus.view() - before
}

/// Guards against a replica that was cut off and then deposes a healthy primary.
#[test]
fn an_isolated_replica_deposes_nobody() {
    let two_hours = 2 * 3_600_000;
    assert_eq!(
        views_after_isolation(ProtocolFaults::default(), two_hours),
        0
    );
    let no_pre_vote = ProtocolFaults {
        no_pre_vote: true,
        ..ProtocolFaults::default()
    };
    assert!(views_after_isolation(no_pre_vote, 60_000) > 0);
}

/// Cuts one direction of the primary's links; tells whether the group goes on within 10 s.
fn goes_on(broken: ProtocolFaults, hears: bool, is_heard: bool) -> bool {
    let mut bus = Bus::formed(6, 3, broken);
    let old = bus.primary().expect("a primary");
    cut_off(&mut bus, old, hears, is_heard);
    bus.run(10_000);
    let roles = |id: &KeeperId| bus.hosts[id].replica.as_ref().map(|r| r.status().role);
    let stepped_down = roles(&old) != Some(Role::Primary);
    stepped_down && bus.accept_one(1000).is_some()
}

/// Guards against a primary that sends heartbeats but hears no answer and stays for ever.
#[test]
fn a_primary_that_hears_nobody_steps_down() {
    assert!(goes_on(ProtocolFaults::default(), false, true));
    let no_check_quorum = ProtocolFaults {
        no_check_quorum: true,
        ..ProtocolFaults::default()
    };
    assert!(!goes_on(no_check_quorum, false, true));
}

/// Guards against a primary that nobody hears and that is not replaced.
#[test]
fn a_primary_that_nobody_hears_is_replaced() {
    assert!(goes_on(ProtocolFaults::default(), true, false));
    assert!(goes_on(ProtocolFaults::default(), false, false));
}

/// Guards against reads that miss an entry accepted before, in particular at a former primary.
#[test]
fn holds_reads_see_what_was_accepted() {
    for seed in SEEDS {
        let mut bus = group(seed);
        bus.accept_one(1000).expect("accepted");
        let old = bus.primary().expect("a primary");
        cut_off(&mut bus, old, seed % 3 == 1, seed % 3 == 2);
        for i in 0..300 {
            bus.run(10);
            let accepted = bus.accepted.values().map(|op| op.0).max().unwrap_or(0);
            let (token, current) = (ReadToken(i * 2), ReadToken(i * 2 + 1));
            bus.event(old, Event::Read { token });
            let primary = bus.primary().unwrap_or(old);
            bus.event(primary, Event::Read { token: current });
            bus.propose(primary);
            bus.run(5);
            for token in [token, current] {
                let applied = bus.ready.get(&token);
                assert!(applied.is_none_or(|a| *a >= accepted), "seed {seed}");
            }
        }
        assert!(bus.ready.len() > 50, "seed {seed}: {}", bus.ready.len());
        assert!(!bus.refused.is_empty(), "seed {seed}");
    }
}

/// Guards against reads that need a lease although a majority answers.
#[test]
fn reads_without_a_lease_take_a_round() {
    let mut bus = group(5);
    bus.options.lease = std::time::Duration::ZERO;
    for host in bus.hosts.values_mut() {
        host.options.lease = std::time::Duration::ZERO;
    }
    for id in 1..=3 {
        bus.crash(k(id));
        bus.restart(k(id));
    }
    bus.accept_one(5000).expect("accepted");
    let primary = bus.primary().expect("a primary");

    bus.event(
        primary,
        Event::Read {
            token: ReadToken(1),
        },
    );
    let at_once = bus.ready.contains_key(&ReadToken(1));
    bus.run(100);

    assert!(!at_once && bus.ready.contains_key(&ReadToken(1)));
}

/// Guards against losses when a second host is lost right after the repair of a first one.
#[test]
fn holds_entries_after_a_second_loss_right_after_a_repair() {
    for seed in SEEDS {
        for first in 1..=3 {
            let mut bus = group(seed);
            for _ in 0..40 {
                bus.accept_one(1000).expect("accepted");
            }
            for lost in [first, first % 3 + 1, (first + 1) % 3 + 1] {
                bus.lose_disk(k(lost));
                bus.restart(k(lost));
                assert!(bus.run_until(20_000, |b| !b.hosts[&k(lost)].must_recover));
            }
            bus.settle();
            assert!(
                bus.violations.is_empty(),
                "seed {seed}: {:?}",
                bus.violations
            );
        }
    }
}

/// Guards against a crash between any two actions of a repair, or of the forming of a group, that
/// makes a replica count too early or keeps it from ever counting.
#[test]
fn holds_entries_at_a_crash_at_every_step_of_a_repair() {
    for at in 0..60 {
        let mut bus = Bus::new_group(11, 3, bus::options(11));
        bus.crash_at = Some((k(2), at));
        bus.run(3000);
        let crashed_early = bus.crash_at.is_none();
        bus.restart_if_down(k(2));
        for _ in 0..50 {
            bus.accept_one(20_000).expect("accepted");
        }
        bus.lose_disk(k(3));
        bus.crash_at = Some((k(3), at));
        bus.restart(k(3));
        bus.run(3000);
        let crashed = bus.crash_at.take().is_none();
        bus.settle();
        assert!(bus.violations.is_empty(), "{at}: {:?}", bus.violations);
        assert!(crashed && (crashed_early || at > 40), "{at}");
    }
}

/// Guards against a lost disk that passes for a member of a new group, with the option still set.
#[test]
fn a_lost_disk_never_forms_a_group() {
    let mut bus = group(7);
    bus.accept_one(1000).expect("accepted");
    for others in [k(2), k(3)] {
        bus.crash(others);
    }
    bus.lose_disk(k(1));
    bus.restart(k(1));
    bus.run(20_000);
    let alone = bus.member_state(1);
    bus.restart(k(2));
    bus.run(20_000);
    let with_one = bus.member_state(1);
    bus.restart(k(3));
    bus.run(20_000);

    assert_eq!(alone, Some(MemberState::Forming));
    assert_eq!(with_one, Some(MemberState::Recovering));
    assert_eq!(bus.member_state(1), Some(MemberState::Complete));
    assert!(bus.commit(1) >= Op(2));
}

/// Guards against a group that forms before all of its members run.
#[test]
fn a_new_group_waits_for_all_members() {
    let mut bus = Bus::new_group(8, 3, bus::options(8));
    bus.crash(k(3));
    bus.run(10_000);
    let waiting = bus.primary();
    bus.restart(k(3));
    bus.run(10_000);

    assert_eq!(waiting, None);
    assert!(bus.primary().is_some());
}

/// Guards against two changes of members at once, larger steps, and members that are not ready.
#[test]
fn members_change_one_at_a_time() {
    let mut bus = group(9);
    bus.accept_one(1000).expect("accepted");
    let primary = bus.primary().expect("a primary");
    let two = bus.change_members(primary, vec![k(1), k(2), k(3), k(4), k(5)]);
    let absent = bus.change_members(primary, vec![k(1), k(2), k(3), k(4)]);
    let second = bus.change_members(primary, vec![k(1), k(2), k(3), k(5)]);
    bus.run(31_000);
    let results = [two, absent, second].map(|id| bus.answers.get(&id).copied());
    let refused = [
        ProposeResult::Refused,
        ProposeResult::Busy,
        ProposeResult::Busy,
    ];
    assert_eq!(results, refused.map(Some));

    bus.add_host(k(4), vec![k(1), k(2), k(3), k(4)], false);
    let added = bus.change_members(primary, vec![k(1), k(2), k(3), k(4)]);
    bus.run(5000);
    assert!(matches!(bus.answers[&added], ProposeResult::Committed(_)));
    let rest: Vec<KeeperId> = bus
        .members()
        .into_iter()
        .filter(|id| *id != primary)
        .collect();
    let removed = bus.change_members(primary, rest.clone());
    bus.run(5000);
    assert!(matches!(bus.answers[&removed], ProposeResult::Committed(_)));
    assert_eq!(bus.members(), rest);
    bus.settle();
    assert!(bus.violations.is_empty(), "{:?}", bus.violations);
}

/// Guards against a group that replaces nobody for half a minute, because a new member went down while
/// it was added.
#[test]
fn a_new_member_that_goes_down_holds_up_no_other_change() {
    let mut bus = group(8);
    bus.accept_one(1000).expect("accepted");
    let primary = bus.primary().expect("a primary");
    let down = bus.change_members(primary, vec![k(1), k(2), k(3), k(4)]);
    bus.add_host(k(5), vec![k(1), k(2), k(3), k(5)], false);
    bus.run(4000);

    let next = bus.change_members(primary, vec![k(1), k(2), k(3), k(5)]);
    bus.run(2000);

    assert_eq!(bus.answers.get(&down), Some(&ProposeResult::Busy));
    let next = bus.answers.get(&next);
    assert!(
        matches!(next, Some(ProposeResult::Committed(_))),
        "{next:?}"
    );
}

/// Guards against messages over 1 MB and a log in memory that grows without bound.
#[test]
fn messages_and_memory_are_bounded() {
    let mut options = bus::options(3);
    options.snapshot_chunk_bytes = ReplicaOptions::default().snapshot_chunk_bytes;
    let mut bus = Bus::new_group(3, 3, options);
    bus.payload = 700_000;
    bus.run_until(20_000, |b| b.primary().is_some());
    let slow = if bus.primary() == Some(k(1)) {
        k(2)
    } else {
        k(1)
    };
    bus.crash(slow);
    for _ in 0..100 {
        bus.accept_one(5000).expect("accepted");
    }
    let statuses = bus.hosts.values().filter_map(|h| h.replica.as_ref());
    let entries = statuses.map(|r| r.status().entries_in_memory).max();
    bus.settle();

    assert!(bus.violations.is_empty(), "{:?}", bus.violations);
    assert!(entries <= Some(40), "{entries:?}");
    assert!(
        (600_000..1_000_000).contains(&bus.largest_message),
        "{}",
        bus.largest_message
    );
}

/// A candidate of five that has its own vote, one of a disk that was lost since, and one of a
/// replica that knows the later life of that disk.
fn role_with_an_outdated_vote(broken: ProtocolFaults) -> Role {
    let known_incarnations = BTreeMap::from([(k(3), Incarnation(9))]);
    let options = ReplicaOptions {
        me: k(1),
        members: (1..=5).map(KeeperId).collect(),
        protocol_faults: broken,
        ..ReplicaOptions::default()
    };
    let hard = HardState {
        view: View(4),
        voted_for: None,
        member_state: MemberState::Complete,
        incarnation: Incarnation(1),
        known_incarnations: BTreeMap::new(),
        first_members: options.members.clone(),
    };
    let durable = DurableState::from_disk(Some(hard), false, None, Vec::new());
    let mut replica = Replica::try_new(options, durable, Millis(0)).expect("a replica");
    let now = Millis(2000);
    replica.step(now, Event::Tick);
    for from in [k(2), k(3)] {
        let (view, current) = (View(5), View(4));
        let msg = Message::PreVoteReply {
            view,
            granted: true,
            current,
        };
        replica.step(now, Event::Message { from, msg });
    }
    replica.step(now, Event::Synced { upto: SyncToken(1) });
    for (from, life, known_incarnations) in
        [(k(3), 5, BTreeMap::new()), (k(2), 2, known_incarnations)]
    {
        let msg = Message::VoteReply {
            view: View(5),
            last: EntryId::default(),
            incarnation: Incarnation(life),
            known_incarnations,
        };
        replica.step(now, Event::Message { from, msg });
    }
    replica.status().role
}

/// Guards against a vote that a disk gave before it was lost and that arrives after the recovery.
#[test]
fn votes_of_a_lost_disk_do_not_count() {
    let broken = ProtocolFaults {
        count_old_incarnations: true,
        ..ProtocolFaults::default()
    };

    assert_eq!(
        role_with_an_outdated_vote(ProtocolFaults::default()),
        Role::Candidate
    );
    assert_eq!(role_with_an_outdated_vote(broken), Role::Primary);
}
