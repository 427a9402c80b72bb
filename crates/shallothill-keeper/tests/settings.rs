//! The keeper's settings.

mod common;

use common::Group;
use shallothill_core::ids::{KeeperId, Region};
use shallothill_keeper::settings::Settings;

/// Settings that contradict themselves would split a group, so they must be refused at the start.
#[test]
fn contradictions_are_refused() {
    let good = Group::prepare(3).settings[0].clone();
    let other = Region::try_new("north").unwrap();
    let faults: [fn(&mut Settings, Region); 4] = [
        |s, _| s.regions.clear(),
        |s, _| s.id = KeeperId(9),
        |s, _| s.keepers[1].id = KeeperId(1),
        |s, other| s.region = other,
    ];

    assert!(good.check().is_ok());
    for (n, fault) in faults.into_iter().enumerate() {
        let mut bad = good.clone();
        fault(&mut bad, other.clone());
        assert!(bad.check().is_err(), "fault {n} was accepted");
    }
}

/// A keeper whose group is in another region must not count for this region's keys.
#[test]
fn ledger_group_is_that_of_the_region() {
    let mut settings = Group::prepare(3).settings[0].clone();
    settings.keepers[2].region = Region::try_new("north").unwrap();

    assert_eq!(settings.ledger_group(), [KeeperId(1), KeeperId(2)]);
    assert_eq!(settings.members().len(), 3);
}
