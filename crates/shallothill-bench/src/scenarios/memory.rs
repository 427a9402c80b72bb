//! Memory use of a node's configuration and directory at growing deployment sizes.

use std::collections::BTreeMap;
use std::fs;
use std::hint::black_box;
use std::sync::Arc;

use shallothill_core::ids::ServiceName;
use shallothill_core::sections;
use shallothill_core::version::ConfigVersion;
use shallothill_node::config::ConfigSnapshot;
use shallothill_policy::pick::{EndpointInfo, PickOptions, ServiceTables};

use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::scenarios::scale::{SCALE_PERCENTS, Scale};

/// Page size of Linux on the supported processors.
const PAGE_BYTES: f64 = 4096.0;
const TARGET_MB: f64 = 64.0;

/// Resident memory of this process in MB, or 0 where it cannot be read.
pub(super) fn resident_mb() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1e6
}

fn config_snapshot(size: Scale) -> Result<ConfigSnapshot> {
    let sections = sections::split(&size.config()?);
    let manifest = sections::manifest(&sections);
    let sections = sections
        .into_iter()
        .map(|s| (s.id(), Arc::new(s)))
        .collect();
    Ok(ConfigSnapshot::new(
        ConfigVersion(1),
        sections,
        manifest,
        &ConfigSnapshot::default(),
    ))
}

fn tables(size: Scale) -> Result<ServiceTables> {
    let own_zone = size.node_report(0)?.zone;
    let mut by_service: BTreeMap<ServiceName, Vec<EndpointInfo>> = BTreeMap::new();
    for n in 0..size.nodes() {
        let report = size.node_report(n)?;
        for e in report.endpoints {
            by_service
                .entry(e.service.clone())
                .or_default()
                .push(EndpointInfo {
                    id: shallothill_core::ids::EndpointId {
                        service: e.service,
                        node: report.node.clone(),
                        name: e.name,
                    },
                    zone: report.zone.clone(),
                    peer_address: report.peer_address,
                    slots: e.slots,
                    state: e.state,
                    reporting: true,
                });
        }
    }
    let changed = by_service.into_iter().collect();
    Ok(ServiceTables::default().with_endpoints(&own_zone, changed, &PickOptions::default()))
}

pub(super) fn run(_seed: u64, report: &mut Report) -> Result<()> {
    let columns = [
        "% of full",
        "endpoints",
        "callers",
        "config MB",
        "endpoints MB",
        "reports MB",
    ];
    let title = "memory: of a node's configuration and directory (printed, not judged)";
    let mut table = Table::new(title, &columns);
    let mut total = 0.0;
    // Everything is kept until the end: the allocator would reuse freed memory, which the resident
    // size would not show.
    let mut kept = Vec::new();
    for percent in SCALE_PERCENTS {
        let size = Scale { percent };
        let start = resident_mb();
        let config = black_box(config_snapshot(size)?);
        let with_config = resident_mb();
        let endpoints = black_box(tables(size)?);
        let with_endpoints = resident_mb();
        let nodes = (0..size.nodes()).map(|n| size.node_report(n));
        let reports = black_box(nodes.collect::<Result<Vec<_>>>()?);
        let with_reports = resident_mb();
        total = with_reports - start;
        table.add_row(vec![
            percent.to_string(),
            size.endpoints().to_string(),
            size.callers().to_string(),
            format!("{:.1}", with_config - start),
            format!("{:.1}", with_endpoints - with_config),
            format!("{:.1}", with_reports - with_endpoints),
        ]);
        kept.push((config, endpoints, reports));
    }
    table.add_row(vec![
        format!("target {TARGET_MB} MB"),
        String::new(),
        String::new(),
        format!("sum {total:.1}"),
        String::new(),
        String::new(),
    ]);
    drop(kept);
    report.tables.push(table);
    Ok(())
}
