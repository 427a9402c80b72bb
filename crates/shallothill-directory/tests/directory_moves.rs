//! Tests of the directory at several keepers.

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

fn at(s: u64) -> Millis {
    Millis(s * 1000)
}

fn has(d: &Directory) -> bool {
    d.nodes().any(|n| n.report.node == node())
}

/// Sends the changes since `cursor` from one keeper to another.
fn exchange(now: Millis, from: &Directory, to: &mut Directory, cursor: &mut Option<Cursor>) {
    let delta = from.delta(*cursor);
    *cursor = Some(delta.cursor);
    to.merge(now, from.cursor().keeper, delta);
}

/// Guards against the removal of a live node that moved its reports to another keeper: its
/// sequence number rises only when its content changes.
#[test]
fn a_node_that_changes_its_keeper_stays_present() {
    let (mut a, mut b) = (directory(1), directory(2));
    let (mut a_to_b, mut b_to_a) = (None, None);
    a.apply_report(at(0), report(1, ServingState::Ready));
    exchange(at(0), &a, &mut b, &mut a_to_b);

    for s in 1..40 {
        if s % 2 == 0 {
            b.apply_report(at(s), report(1, ServingState::Ready));
        }
        a.expire_silent_nodes(at(s));
        b.expire_silent_nodes(at(s));
        exchange(at(s), &a, &mut b, &mut a_to_b);
        exchange(at(s), &b, &mut a, &mut b_to_a);
        assert!(has(&b), "keeper 2 lost the node at {s} s");
        assert!(has(&a), "keeper 1 lost the node at {s} s");
    }
}

/// Guards against the removal of a live node by a keeper that cannot hear who hears the node.
#[test]
fn a_keeper_that_missed_the_move_removes_the_node_only_for_itself() {
    let (mut a, mut b) = (directory(1), directory(2));
    let (mut a_to_b, mut b_to_a) = (None, None);
    a.apply_report(at(0), report(1, ServingState::Ready));
    exchange(at(0), &a, &mut b, &mut a_to_b);

    for s in 1..60 {
        if s % 2 == 0 {
            b.apply_report(at(s), report(1, ServingState::Ready));
        }
        a.expire_silent_nodes(at(s));
        b.expire_silent_nodes(at(s));
        exchange(at(s), &a, &mut b, &mut a_to_b);
        if s > 30 {
            exchange(at(s), &b, &mut a, &mut b_to_a);
        }
        assert!(has(&b), "keeper 2 lost the node at {s} s");
    }
    assert!(has(&a), "keeper 1 did not get the node back");
}

/// Guards against a node that is shut out for good after a silence of its link: its next report
/// carries the same sequence number.
#[test]
fn a_silent_node_returns_with_the_same_sequence() {
    let mut a = directory(1);
    a.apply_report(at(0), report(1, ServingState::Ready));
    a.expire_silent_nodes(at(20));
    assert!(!has(&a));

    let news = a.apply_report(at(21), report(1, ServingState::Ready));

    assert!(news && has(&a));
}

/// Guards against late or repeated reports that restore a node which said that it leaves.
#[test]
fn late_reports_never_restore_a_node_that_left() {
    let (mut a, mut b) = (directory(1), directory(2));
    let (mut a_to_b, mut b_to_a) = (None, None);
    a.apply_report(at(0), report(1, ServingState::Ready));
    exchange(at(0), &a, &mut b, &mut a_to_b);
    b.apply_report(at(0), report(1, ServingState::Ready));
    a.apply_leave(at(1), &node(), (Incarnation(1), 1));
    exchange(at(1), &a, &mut b, &mut a_to_b);

    b.apply_report(at(2), report(1, ServingState::Ready));
    a.apply_report(at(2), report(1, ServingState::Ready));
    exchange(at(2), &b, &mut a, &mut b_to_a);

    assert!(!has(&a) && !has(&b));
}

/// Guards against a reader that keeps a removed node because the removal was forgotten meanwhile.
#[test]
fn a_reader_behind_forgotten_removals_gets_everything() {
    let mut a = directory(1);
    a.apply_report(at(0), report(1, ServingState::Ready));
    let cursor = a.cursor();
    a.apply_leave(at(1), &node(), (Incarnation(1), 2));
    a.expire_silent_nodes(at(25 * 3600));

    let delta = a.delta(Some(cursor));

    assert!(delta.full, "the reader would keep the removed node");
}

/// Guards against a budget that counts servers which cannot serve.
#[test]
fn capacity_counts_only_what_could_be_healthy() {
    let cases = [
        (ServingState::Ready, 1),
        (ServingState::Demoted, 1),
        (ServingState::Ejected, 1),
        (ServingState::Cold, 0),
        (ServingState::Draining, 0),
    ];
    for (state, expected) in cases {
        let mut a = directory(1);
        a.apply_report(at(0), report(1, state));
        assert_eq!(
            a.count_healthy_or_ejected(&service(), &ege()),
            expected,
            "{state:?}"
        );
        a.expire_silent_nodes(at(7));
        assert_eq!(
            a.count_healthy_or_ejected(&service(), &ege()),
            0,
            "unheard {state:?}"
        );
        assert!(a.nodes().all(|n| n.liveness == Liveness::Silent));
    }
}
