//! Departures of backend servers at a keeper.

use shallothill_core::ids::{EndpointName, NodeName, ServiceName};
use shallothill_core::time::Millis;
use shallothill_directory::{Departure, DepartureTable};

fn node(name: &str) -> NodeName {
    NodeName::try_new(name).unwrap()
}

fn departure(started_ms: u64) -> Departure {
    Departure {
        service: ServiceName::try_new("courier").unwrap(),
        name: EndpointName::try_new("e1").unwrap(),
        started_ms,
        sequence: u64::MAX,
    }
}

/// Guards against departures that are forgotten while a late announcement may still arrive, and
/// against those that are kept for good.
#[test]
fn departures_are_kept_for_two_minutes() {
    let mut table = DepartureTable::default();
    table.record(Millis(0), &node("n1"), vec![departure(1)]);
    table.record(Millis(60_000), &node("n1"), vec![departure(2)]);

    table.expire(Millis(119_999));
    let before = table.of_node(&node("n1"));
    table.expire(Millis(120_000));
    let after = table.of_node(&node("n1"));
    table.expire(Millis(180_000));

    assert_eq!(before, [departure(1), departure(2)]);
    assert_eq!(after, [departure(2)]);
    assert!(table.all().is_empty());
}

/// Guards against a node that fills the memory and the disk of the keepers with departures, and
/// against repeated ones that displace others.
#[test]
fn departures_of_a_node_are_bounded() {
    let mut table = DepartureTable::default();
    for n in 0..1000 {
        table.record(Millis(n), &node("n1"), vec![departure(n), departure(0)]);
    }

    let kept = table.of_node(&node("n1"));

    assert_eq!(kept.len(), 64);
    assert!(kept.contains(&departure(999)) && kept.contains(&departure(0)));
    assert_eq!(table.of_node(&node("n2")), []);
}
