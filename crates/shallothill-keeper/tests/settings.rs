//! The keeper's settings.

mod common;

use common::Group;
use shallothill_core::ids::{KeeperId, Region};
use shallothill_keeper::settings::Settings;

/// Guards against a split group: settings that contradict themselves must be refused at the start.
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

/// Guards against keepers of another region that count as members of this region's ledger group.
#[test]
fn ledger_group_contains_keepers_of_the_region_only() {
    let mut settings = Group::prepare(3).settings[0].clone();
    settings.keepers[2].region = Region::try_new("north").unwrap();

    assert_eq!(settings.ledger_group(), [KeeperId(1), KeeperId(2)]);
    assert_eq!(settings.members().len(), 3);
}
