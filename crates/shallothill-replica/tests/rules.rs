//! Single situations that random schedules rarely reach.

mod bus;

use std::collections::BTreeMap;

use bus::Bus;
use bus::schedule::SEEDS;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_replica::{
    DurableState, EntryId, Event, HardState, MemberState, Message, Op, ProposeResult,
    ProtocolFaults, Replica, ReplicaOptions, Role, SyncToken, View,
};

fn k(id: u32) -> KeeperId {
    KeeperId(id)
}

fn group(seed: u64) -> Bus {
    Bus::with_primary(seed, 3, ProtocolFaults::default())
}

/// Returns the number of view changes that an isolated replica causes when its links are restored
/// after `ms`.
fn view_changes_after_isolation(protocol_faults: ProtocolFaults, ms: u64) -> u64 {
    let mut bus = Bus::with_primary(4, 3, protocol_faults);
    let primary = bus.primary().expect("a primary");
    let isolated = if primary == k(1) { k(2) } else { k(1) };
    let before = bus.view();
    bus.isolate(isolated, false, false);
    bus.run(ms);
    bus.cut_links.clear();
    bus.run(5000);
    bus.view() - before
}

/// Guards against a replica that raises its view while it is isolated, and deposes a healthy
/// primary when its links are restored.
#[test]
fn an_isolated_replica_does_not_depose_the_primary() {
    let two_hours = 2 * 3_600_000;
    assert_eq!(
        view_changes_after_isolation(ProtocolFaults::default(), two_hours),
        0
    );
    let no_pre_vote = ProtocolFaults {
        no_pre_vote: true,
        ..ProtocolFaults::default()
    };
    assert!(view_changes_after_isolation(no_pre_vote, 60_000) > 0);
}

/// Cuts the primary's links in the directions that are false; returns whether it steps down within
/// 10 s and the group accepts a request.
fn primary_is_replaced(protocol_faults: ProtocolFaults, receives: bool, sends: bool) -> bool {
    let mut bus = Bus::with_primary(6, 3, protocol_faults);
    let old = bus.primary().expect("a primary");
    bus.isolate(old, receives, sends);
    bus.run(10_000);
    let roles = |id: &KeeperId| bus.hosts[id].replica.as_ref().map(|r| r.status().role);
    let stepped_down = roles(&old) != Some(Role::Primary);
    stepped_down && bus.propose_until_accepted(1000).is_some()
}

/// Guards against a primary that never steps down although it receives no answers, because its
/// heartbeats keep the others from an election.
#[test]
fn a_primary_without_answers_steps_down() {
    assert!(primary_is_replaced(ProtocolFaults::default(), false, true));
    let no_check_quorum = ProtocolFaults {
        no_check_quorum: true,
        ..ProtocolFaults::default()
    };
    assert!(!primary_is_replaced(no_check_quorum, false, true));
}

/// Guards against a primary that is not replaced although no member receives its messages.
#[test]
fn a_primary_that_no_member_hears_is_replaced() {
    assert!(primary_is_replaced(ProtocolFaults::default(), true, false));
    assert!(primary_is_replaced(ProtocolFaults::default(), false, false));
}

/// Guards against accepted entries that are lost when a second disk is lost right after the
/// recovery of a first one.
#[test]
fn holds_entries_after_a_second_loss_right_after_a_repair() {
    for seed in SEEDS {
        for first in 1..=3 {
            let mut bus = group(seed);
            for _ in 0..40 {
                bus.propose_until_accepted(1000).expect("accepted");
            }
            for lost in [first, first % 3 + 1, (first + 1) % 3 + 1] {
                bus.lose_disk(k(lost));
                bus.restart(k(lost));
                assert!(bus.run_until(20_000, |b| !b.hosts[&k(lost)].needs_recovery));
            }
            bus.end_faults_and_verify();
            assert!(
                bus.violations.is_empty(),
                "seed {seed}: {:?}",
                bus.violations
            );
        }
    }
}

/// Guards against a crash between any two actions of a recovery, or of the forming of a group,
/// after which a replica votes before it is complete, or never votes.
#[test]
fn holds_entries_at_a_crash_at_every_step_of_a_repair() {
    for at in 0..60 {
        let mut bus = Bus::new_group(11, 3, bus::options(11));
        bus.crash_at = Some((k(2), at));
        bus.run(3000);
        let crashed_early = bus.crash_at.is_none();
        bus.restart_if_down(k(2));
        for _ in 0..50 {
            bus.propose_until_accepted(20_000).expect("accepted");
        }
        bus.lose_disk(k(3));
        bus.crash_at = Some((k(3), at));
        bus.restart(k(3));
        bus.run(3000);
        let crashed = bus.crash_at.take().is_none();
        bus.end_faults_and_verify();
        assert!(bus.violations.is_empty(), "{at}: {:?}", bus.violations);
        assert!(crashed && (crashed_early || at > 40), "{at}");
    }
}

/// Guards against a member that forms a new group again after its disk was lost, because
/// `create_group` is still set.
#[test]
fn a_lost_disk_never_forms_a_group() {
    let mut bus = group(7);
    bus.propose_until_accepted(1000).expect("accepted");
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

/// Guards against overlapping changes of members, changes of more than one member, and new members
/// that do not run.
#[test]
fn members_change_one_at_a_time() {
    let mut bus = group(9);
    bus.propose_until_accepted(1000).expect("accepted");
    let primary = bus.primary().expect("a primary");
    let two = bus.change_members(primary, vec![k(1), k(2), k(3), k(4), k(5)]);
    let absent = bus.change_members(primary, vec![k(1), k(2), k(3), k(4)]);
    let second = bus.change_members(primary, vec![k(1), k(2), k(3), k(5)]);
    bus.run(31_000);
    let results = [two, absent, second].map(|id| bus.results.get(&id).copied());
    let refused = [
        ProposeResult::Refused,
        ProposeResult::Busy,
        ProposeResult::Busy,
    ];
    assert_eq!(results, refused.map(Some));

    bus.add_host(k(4), vec![k(1), k(2), k(3), k(4)], false);
    let added = bus.change_members(primary, vec![k(1), k(2), k(3), k(4)]);
    bus.run(5000);
    assert!(matches!(bus.results[&added], ProposeResult::Committed(_)));
    let rest: Vec<KeeperId> = bus
        .members()
        .into_iter()
        .filter(|id| *id != primary)
        .collect();
    let removed = bus.change_members(primary, rest.clone());
    bus.run(5000);
    assert!(matches!(bus.results[&removed], ProposeResult::Committed(_)));
    assert_eq!(bus.members(), rest);
    bus.end_faults_and_verify();
    assert!(bus.violations.is_empty(), "{:?}", bus.violations);
}

/// Guards against a group of the largest listed size in which no member can be replaced.
#[test]
fn a_group_of_nine_grows_to_replace_a_member() {
    let mut bus = Bus::new_group(10, 9, bus::options(10));
    bus.propose_until_accepted(5000).expect("accepted");
    let primary = bus.primary().expect("a primary");
    let ten: Vec<KeeperId> = (1..=10).map(k).collect();
    bus.add_host(k(10), (1..=9).map(k).collect(), false);

    let added = bus.change_members(primary, ten.clone());
    bus.run(5000);

    let result = bus.results.get(&added);
    assert!(
        matches!(result, Some(ProposeResult::Committed(_))),
        "{result:?}"
    );
    assert_eq!(bus.members(), ten);
}

/// Guards against a new member that goes down while it is added, and so blocks every other change
/// of members for 30 s.
#[test]
fn a_new_member_that_goes_down_does_not_block_other_changes() {
    let mut bus = group(8);
    bus.propose_until_accepted(1000).expect("accepted");
    let primary = bus.primary().expect("a primary");
    let down = bus.change_members(primary, vec![k(1), k(2), k(3), k(4)]);
    bus.add_host(k(5), vec![k(1), k(2), k(3), k(5)], false);
    bus.run(4000);

    let next = bus.change_members(primary, vec![k(1), k(2), k(3), k(5)]);
    bus.run(2000);

    assert_eq!(bus.results.get(&down), Some(&ProposeResult::Busy));
    let next = bus.results.get(&next);
    assert!(
        matches!(next, Some(ProposeResult::Committed(_))),
        "{next:?}"
    );
}

/// Guards against messages of more than 1 MB, and against a log in memory that grows without bound
/// while a member is down.
#[test]
fn messages_and_memory_are_bounded() {
    let mut options = bus::options(3);
    options.snapshot_chunk_bytes = ReplicaOptions::default().snapshot_chunk_bytes;
    let mut bus = Bus::new_group(3, 3, options);
    bus.max_payload_bytes = 700_000;
    bus.run_until(20_000, |b| b.primary().is_some());
    let slow = if bus.primary() == Some(k(1)) {
        k(2)
    } else {
        k(1)
    };
    bus.crash(slow);
    for _ in 0..100 {
        bus.propose_until_accepted(5000).expect("accepted");
    }
    let statuses = bus.hosts.values().filter_map(|h| h.replica.as_ref());
    let entries = statuses.map(|r| r.status().entries_in_memory).max();
    bus.end_faults_and_verify();

    assert!(bus.violations.is_empty(), "{:?}", bus.violations);
    assert!(entries <= Some(40), "{entries:?}");
    assert!(
        (600_000..1_000_000).contains(&bus.largest_message),
        "{}",
        bus.largest_message
    );
}

/// Returns the role of a candidate in a group of five that has three votes: its own, one from a
/// disk that was lost since, and one from a replica that recorded the later incarnation of that
/// disk.
fn role_after_outdated_vote(protocol_faults: ProtocolFaults) -> Role {
    let known_incarnations = BTreeMap::from([(k(3), Incarnation(9))]);
    let options = ReplicaOptions {
        me: k(1),
        members: (1..=5).map(KeeperId).collect(),
        protocol_faults,
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
    for (from, incarnation, known_incarnations) in
        [(k(3), 5, BTreeMap::new()), (k(2), 2, known_incarnations)]
    {
        let msg = Message::VoteReply {
            view: View(5),
            last: EntryId::default(),
            incarnation: Incarnation(incarnation),
            known_incarnations,
        };
        replica.step(now, Event::Message { from, msg });
    }
    replica.status().role
}

/// Guards against counting a vote that was sent before the voter's disk was lost and that arrives
/// after its recovery.
#[test]
fn votes_of_a_lost_disk_do_not_count() {
    let protocol_faults = ProtocolFaults {
        count_old_incarnations: true,
        ..ProtocolFaults::default()
    };

    assert_eq!(
        role_after_outdated_vote(ProtocolFaults::default()),
        Role::Candidate
    );
    assert_eq!(role_after_outdated_vote(protocol_faults), Role::Primary);
}
