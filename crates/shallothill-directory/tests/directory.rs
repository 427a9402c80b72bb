//! The directory of one keeper among others.

use std::net::SocketAddr;

use shallothill_core::ids::{DataCentre, KeeperId, NodeName, Region, Zone};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_directory::{Directory, DirectoryOptions, Liveness, NodeReport};

const A: KeeperId = KeeperId(1);
const B: KeeperId = KeeperId(2);
const C: KeeperId = KeeperId(3);

fn keeper(id: KeeperId) -> Directory {
    Directory::new(id, Incarnation(1), DirectoryOptions::default())
}

fn report(sequence: u64) -> NodeReport {
    NodeReport {
        node: NodeName::try_new("n1").unwrap(),
        zone: Zone {
            region: Region::try_new("central").unwrap(),
            data_centre: DataCentre::try_new("central-1").unwrap(),
        },
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: Incarnation(7),
        sequence,
        endpoints: Vec::new(),
    }
}

fn liveness(directory: &Directory) -> Option<Liveness> {
    directory.nodes().next().map(|n| n.liveness)
}

/// Follows `from` once; the cursor is kept by the caller.
fn follow(now: Millis, into: &mut Directory, from: &Directory, id: KeeperId, all: bool) {
    let cursor = if all { None } else { Some(from.cursor()) };
    into.merge(now, id, from.delta(cursor));
}

/// A node that was cut off for longer than the removal time must come back with its next report,
/// although nothing about it changed.
#[test]
fn silent_node_returns_with_same_report() {
    let mut a = keeper(A);
    a.apply_report(Millis(0), report(1));
    a.expire_silent_nodes(Millis(16_000));
    assert_eq!(liveness(&a), None);

    a.apply_report(Millis(20_000), report(1));

    assert_eq!(liveness(&a), Some(Liveness::Reporting));
}

/// A report that arrives after the node said that it leaves must not restore it.
#[test]
fn late_report_does_not_restore_a_node_that_left() {
    let mut a = keeper(A);
    a.apply_report(Millis(0), report(1));
    a.apply_leave(Millis(1), &report(2).node, report(2).order());

    a.apply_report(Millis(2), report(1));
    a.apply_report(Millis(3), report(2));

    assert_eq!(liveness(&a), None);
}

/// A node that reports to another keeper must not be removed by the one that it left behind.
#[test]
fn node_that_moves_to_another_keeper_stays() {
    let (mut a, mut b, mut c) = (keeper(A), keeper(B), keeper(C));
    a.apply_report(Millis(0), report(1));
    follow(Millis(0), &mut b, &a, A, true);
    follow(Millis(0), &mut c, &a, A, true);
    let moved = b.cursor();
    for s in 1..30 {
        let now = Millis(s * 1000);
        b.apply_report(now, report(1));
        a.expire_silent_nodes(now);
        b.expire_silent_nodes(now);
        c.expire_silent_nodes(now);
        if s == 1 {
            a.merge(now, B, b.delta(Some(moved)));
            c.merge(now, B, b.delta(Some(moved)));
        }
        follow(now, &mut a, &b, B, false);
        let from_a = a.delta(None);
        b.merge(now, A, from_a.clone());
        c.merge(now, A, from_a);
        follow(now, &mut c, &b, B, false);
    }

    let contacts = [liveness(&a), liveness(&b), liveness(&c)];

    assert_eq!(contacts, [Some(Liveness::Reporting); 3]);
}

/// When a keeper is heard again after a silence, its nodes must count as heard again.
#[test]
fn nodes_of_a_silent_keeper_count_again_when_it_is_heard() {
    let (mut a, mut b) = (keeper(A), keeper(B));
    a.apply_report(Millis(0), report(1));
    follow(Millis(0), &mut b, &a, A, true);
    b.expire_silent_nodes(Millis(7_000));
    assert_eq!(liveness(&b), Some(Liveness::Silent));

    b.record_keeper_contact(Millis(8_000), A);
    b.expire_silent_nodes(Millis(8_500));

    assert_eq!(liveness(&b), Some(Liveness::Reporting));
}

/// A node that stops together with a restart of its keeper must not stay listed elsewhere.
#[test]
fn node_lost_with_its_keepers_restart_is_removed() {
    let (mut a, mut b) = (keeper(A), keeper(B));
    a.apply_report(Millis(0), report(1));
    follow(Millis(0), &mut b, &a, A, true);
    let restarted = Directory::new(A, Incarnation(2), DirectoryOptions::default());

    for s in 1..20 {
        let now = Millis(s * 1000);
        b.merge(now, A, restarted.delta(Some(a.cursor())));
        b.expire_silent_nodes(now);
    }

    assert_eq!(liveness(&b), None);
}

/// A keeper that was restarted must not make the others drop nodes that report again at once.
#[test]
fn node_that_reports_to_its_restarted_keeper_stays() {
    let (mut a, mut b) = (keeper(A), keeper(B));
    a.apply_report(Millis(0), report(1));
    follow(Millis(0), &mut b, &a, A, true);
    let mut restarted = Directory::new(A, Incarnation(2), DirectoryOptions::default());
    follow(Millis(100), &mut b, &restarted, A, true);

    restarted.apply_report(Millis(2_000), report(1));
    for s in 2..30 {
        let now = Millis(s * 1000);
        restarted.apply_report(now, report(1));
        follow(now, &mut b, &restarted, A, true);
        b.expire_silent_nodes(now);
    }

    assert_eq!(liveness(&b), Some(Liveness::Reporting));
}
