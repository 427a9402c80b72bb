//! Directories of several keepers when nodes move, leave or fall silent, and when keepers restart.

use std::net::SocketAddr;

use shallothill_core::ids::{DataCentre, KeeperId, NodeName, Region, Zone};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_directory::{Directory, DirectoryOptions, Liveness, NodeReport};

const A: KeeperId = KeeperId(1);
const B: KeeperId = KeeperId(2);
const C: KeeperId = KeeperId(3);

fn directory(id: KeeperId) -> Directory {
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

fn first_liveness(directory: &Directory) -> Option<Liveness> {
    directory.nodes().next().map(|n| n.liveness)
}

/// Merges the directory `from` of the keeper `id`: all of it with `full`, otherwise an empty delta,
/// which only shows that the keeper answers.
fn merge_from(now: Millis, into: &mut Directory, from: &Directory, id: KeeperId, full: bool) {
    let cursor = if full { None } else { Some(from.cursor()) };
    into.merge(now, id, from.delta(cursor));
}

/// Guards against a node that stays removed after a network partition because its next report is
/// unchanged.
#[test]
fn silent_node_returns_with_same_report() {
    let mut a = directory(A);
    a.apply_report(Millis(0), report(1));
    a.expire_silent_nodes(Millis(16_000));
    assert_eq!(first_liveness(&a), None);

    a.apply_report(Millis(20_000), report(1));

    assert_eq!(first_liveness(&a), Some(Liveness::Reporting));
}

/// Guards against a late report that restores a node which has announced its departure.
#[test]
fn late_report_does_not_restore_a_node_that_left() {
    let mut a = directory(A);
    a.apply_report(Millis(0), report(1));
    a.apply_leave(Millis(1), &report(2).node, report(2).order());

    a.apply_report(Millis(2), report(1));
    a.apply_report(Millis(3), report(2));

    assert_eq!(first_liveness(&a), None);
}

/// Guards against a keeper that removes a node which now reports to another keeper.
#[test]
fn node_that_moves_to_another_keeper_stays() {
    let (mut a, mut b, mut c) = (directory(A), directory(B), directory(C));
    a.apply_report(Millis(0), report(1));
    merge_from(Millis(0), &mut b, &a, A, true);
    merge_from(Millis(0), &mut c, &a, A, true);
    let cursor_before_move = b.cursor();
    for s in 1..30 {
        let now = Millis(s * 1000);
        b.apply_report(now, report(1));
        a.expire_silent_nodes(now);
        b.expire_silent_nodes(now);
        c.expire_silent_nodes(now);
        if s == 1 {
            a.merge(now, B, b.delta(Some(cursor_before_move)));
            c.merge(now, B, b.delta(Some(cursor_before_move)));
        }
        merge_from(now, &mut a, &b, B, false);
        let from_a = a.delta(None);
        b.merge(now, A, from_a.clone());
        c.merge(now, A, from_a);
        merge_from(now, &mut c, &b, B, false);
    }

    let livenesses = [first_liveness(&a), first_liveness(&b), first_liveness(&c)];

    assert_eq!(livenesses, [Some(Liveness::Reporting); 3]);
}

/// Guards against nodes that stay silent after the keeper to which they report answers again.
#[test]
fn nodes_of_a_silent_keeper_count_again_when_it_answers() {
    let (mut a, mut b) = (directory(A), directory(B));
    a.apply_report(Millis(0), report(1));
    merge_from(Millis(0), &mut b, &a, A, true);
    b.expire_silent_nodes(Millis(7_000));
    assert_eq!(first_liveness(&b), Some(Liveness::Silent));

    b.record_keeper_contact(Millis(8_000), A);
    b.expire_silent_nodes(Millis(8_500));

    assert_eq!(first_liveness(&b), Some(Liveness::Reporting));
}

/// Guards against a node that stays listed at other keepers when it stops while its own keeper
/// restarts.
#[test]
fn node_lost_with_its_keepers_restart_is_removed() {
    let (mut a, mut b) = (directory(A), directory(B));
    a.apply_report(Millis(0), report(1));
    merge_from(Millis(0), &mut b, &a, A, true);
    let restarted = Directory::new(A, Incarnation(2), DirectoryOptions::default());

    for s in 1..20 {
        let now = Millis(s * 1000);
        b.merge(now, A, restarted.delta(Some(a.cursor())));
        b.expire_silent_nodes(now);
    }

    assert_eq!(first_liveness(&b), None);
}

/// Guards against a restarted keeper that makes the others drop nodes which soon report to it
/// again.
#[test]
fn node_that_reports_to_its_restarted_keeper_stays() {
    let (mut a, mut b) = (directory(A), directory(B));
    a.apply_report(Millis(0), report(1));
    merge_from(Millis(0), &mut b, &a, A, true);
    let mut restarted = Directory::new(A, Incarnation(2), DirectoryOptions::default());
    merge_from(Millis(100), &mut b, &restarted, A, true);

    restarted.apply_report(Millis(2_000), report(1));
    for s in 2..30 {
        let now = Millis(s * 1000);
        restarted.apply_report(now, report(1));
        merge_from(now, &mut b, &restarted, A, true);
        b.expire_silent_nodes(now);
    }

    assert_eq!(first_liveness(&b), Some(Liveness::Reporting));
}
