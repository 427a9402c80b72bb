//! Directories of several keepers while a node moves, falls silent or leaves.

use shallothill_core::health::ServingState;
use shallothill_core::ids::{
    DataCentre, EndpointName, KeeperId, NodeName, Region, ServiceName, Zone,
};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_directory::{
    Cursor, Directory, DirectoryOptions, EndpointStatus, Liveness, NodeReport,
};

fn service() -> ServiceName {
    ServiceName::try_new("courier").unwrap()
}

fn ege() -> Region {
    Region::try_new("ege").unwrap()
}

fn node() -> NodeName {
    NodeName::try_new("n1").unwrap()
}

fn report(sequence: u64, state: ServingState) -> NodeReport {
    NodeReport {
        node: node(),
        zone: Zone {
            region: ege(),
            data_centre: DataCentre::try_new("ege-1").unwrap(),
        },
        peer_address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation(1),
        sequence,
        endpoints: vec![EndpointStatus {
            service: service(),
            name: EndpointName::try_new("a").unwrap(),
            slots: 5,
            state,
        }],
    }
}

fn directory(k: u32) -> Directory {
    Directory::new(KeeperId(k), Incarnation(1), DirectoryOptions::default())
}

fn at_seconds(s: u64) -> Millis {
    Millis(s * 1000)
}

fn has_node(d: &Directory) -> bool {
    d.nodes().any(|n| n.report.node == node())
}

/// Merges the changes of one keeper since `cursor` at another and advances the cursor.
fn send_delta(now: Millis, from: &Directory, to: &mut Directory, cursor: &mut Option<Cursor>) {
    let delta = from.delta(*cursor);
    *cursor = Some(delta.cursor);
    to.merge(now, from.cursor().keeper, delta);
}

/// Guards against the removal of a live node that now reports to another keeper: its sequence
/// number does not rise, because its report does not change.
#[test]
fn a_node_that_changes_its_keeper_stays_present() {
    let (mut a, mut b) = (directory(1), directory(2));
    let (mut a_to_b, mut b_to_a) = (None, None);
    a.apply_report(at_seconds(0), report(1, ServingState::Ready));
    send_delta(at_seconds(0), &a, &mut b, &mut a_to_b);

    for s in 1..40 {
        if s % 2 == 0 {
            b.apply_report(at_seconds(s), report(1, ServingState::Ready));
        }
        a.expire_silent_nodes(at_seconds(s));
        b.expire_silent_nodes(at_seconds(s));
        send_delta(at_seconds(s), &a, &mut b, &mut a_to_b);
        send_delta(at_seconds(s), &b, &mut a, &mut b_to_a);
        assert!(has_node(&b), "keeper 2 lost the node at {s} s");
        assert!(has_node(&a), "keeper 1 lost the node at {s} s");
    }
}

/// Guards against the removal of a live node at all keepers when only the keeper that it left
/// cannot reach the one to which it now reports.
#[test]
fn a_keeper_that_missed_the_move_removes_the_node_only_for_itself() {
    let (mut a, mut b) = (directory(1), directory(2));
    let (mut a_to_b, mut b_to_a) = (None, None);
    a.apply_report(at_seconds(0), report(1, ServingState::Ready));
    send_delta(at_seconds(0), &a, &mut b, &mut a_to_b);

    for s in 1..60 {
        if s % 2 == 0 {
            b.apply_report(at_seconds(s), report(1, ServingState::Ready));
        }
        a.expire_silent_nodes(at_seconds(s));
        b.expire_silent_nodes(at_seconds(s));
        send_delta(at_seconds(s), &a, &mut b, &mut a_to_b);
        if s > 30 {
            send_delta(at_seconds(s), &b, &mut a, &mut b_to_a);
        }
        assert!(has_node(&b), "keeper 2 lost the node at {s} s");
    }
    assert!(has_node(&a), "keeper 1 did not get the node back");
}

/// Guards against a node that stays removed after a silence because its next report carries the
/// same sequence number.
#[test]
fn a_silent_node_returns_with_the_same_sequence() {
    let mut a = directory(1);
    a.apply_report(at_seconds(0), report(1, ServingState::Ready));
    a.expire_silent_nodes(at_seconds(20));
    assert!(!has_node(&a));

    let changed = a.apply_report(at_seconds(21), report(1, ServingState::Ready));

    assert!(changed && has_node(&a));
}

/// Guards against late or repeated reports that restore a node which has announced its departure.
#[test]
fn late_reports_never_restore_a_node_that_left() {
    let (mut a, mut b) = (directory(1), directory(2));
    let (mut a_to_b, mut b_to_a) = (None, None);
    a.apply_report(at_seconds(0), report(1, ServingState::Ready));
    send_delta(at_seconds(0), &a, &mut b, &mut a_to_b);
    b.apply_report(at_seconds(0), report(1, ServingState::Ready));
    a.apply_leave(at_seconds(1), &node(), (Incarnation(1), 1));
    send_delta(at_seconds(1), &a, &mut b, &mut a_to_b);

    b.apply_report(at_seconds(2), report(1, ServingState::Ready));
    a.apply_report(at_seconds(2), report(1, ServingState::Ready));
    send_delta(at_seconds(2), &b, &mut a, &mut b_to_a);

    assert!(!has_node(&a) && !has_node(&b));
}

/// Guards against a reader that keeps a removed node because the node's tombstone was dropped
/// before the reader read the removal.
#[test]
fn a_reader_behind_dropped_tombstones_gets_the_complete_directory() {
    let mut a = directory(1);
    a.apply_report(at_seconds(0), report(1, ServingState::Ready));
    let cursor = a.cursor();
    a.apply_leave(at_seconds(1), &node(), (Incarnation(1), 2));
    a.expire_silent_nodes(at_seconds(25 * 3600));

    let delta = a.delta(Some(cursor));

    assert!(delta.full, "the reader would keep the removed node");
}

/// Guards against an ejection budget that counts backend servers which cannot serve.
#[test]
fn only_healthy_or_ejected_servers_count() {
    let cases = [
        (ServingState::Ready, 1),
        (ServingState::Demoted, 1),
        (ServingState::Ejected, 1),
        (ServingState::Cold, 0),
        (ServingState::Draining, 0),
    ];
    for (state, expected) in cases {
        let mut a = directory(1);
        a.apply_report(at_seconds(0), report(1, state));
        assert_eq!(
            a.count_healthy_or_ejected(&service(), &ege()),
            expected,
            "{state:?}"
        );
        a.expire_silent_nodes(at_seconds(7));
        assert_eq!(
            a.count_healthy_or_ejected(&service(), &ege()),
            0,
            "silent {state:?}"
        );
        assert!(a.nodes().all(|n| n.liveness == Liveness::Silent));
    }
}
