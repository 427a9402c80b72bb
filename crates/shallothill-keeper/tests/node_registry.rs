//! Reports of nodes at a keeper that arrive late, doubled or after the node has left.

use shallothill_core::ids::{DataCentre, KeeperId, NodeName, Region, Zone};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::NodeReport;
use shallothill_keeper::node_registry::NodeRegistry;
use shallothill_wire::report::ReportRequest;

const KEEPER: KeeperId = KeeperId(1);

fn report(incarnation: u64, sequence: u64, version: u64, leaving: bool) -> ReportRequest {
    ReportRequest {
        report: NodeReport {
            node: NodeName::try_new("n1").unwrap(),
            zone: Zone {
                region: Region::try_new("north").unwrap(),
                data_centre: DataCentre::try_new("north-1").unwrap(),
            },
            peer_address: "127.0.0.1:1".parse().unwrap(),
            incarnation: Incarnation(incarnation),
            sequence,
            endpoints: Vec::new(),
        },
        loads: Vec::new(),
        crashes: Vec::new(),
        config_version: ConfigVersion(version),
        leaving,
    }
}

/// Guards against a late report, or a late leave of an earlier process, that changes the version that
/// operators see in force at a node.
#[test]
fn outdated_reports_change_nothing() {
    let mut registry = NodeRegistry::new(KEEPER, Incarnation(1));
    registry.report(Millis(0), report(2, 3, 7, false));

    for outdated in [
        report(2, 2, 6, false),
        report(1, 9, 5, false),
        report(1, 9, 5, true),
    ] {
        registry.report(Millis(1), outdated);
        let versions = registry.node_versions(KEEPER);
        assert_eq!(versions[0].config_version, Some(ConfigVersion(7)));
    }
}
