//! Control traffic of one node, in bytes, at growing deployment sizes.

use serde::Serialize;
use shallothill_core::config::Config;
use shallothill_core::ids::{EndpointId, KeeperId};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::sections;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{
    Cursor, Directory, DirectoryOptions, EjectionToken, EndpointLoad, LeaseRequest, ServiceSummary,
};
use shallothill_wire::report::{ReportReply, ReportRequest};
use shallothill_wire::watch::{ConfigUpdate, WatchReply, WatchRequest};

use crate::report::{Report, Table};
use crate::scenarios::scale::{SCALE_PERCENTS, Scale};
use crate::scenarios::{Result, scale};

const SECONDS_PER_DAY: f64 = 86_400.0;
const CONFIG_CHANGES_PER_DAY: f64 = 9500.0;
/// Restarts, replacements and failures of hosts.
const HOST_CHANGES_PER_DAY: f64 = 3135.0;
/// A restarting host leaves, returns cold and becomes ready.
const DELTAS_PER_HOST_CHANGE: f64 = 3.0;
const REPORTS_PER_S: f64 = 0.5;
const WATCHES_PER_S: f64 = 0.5;
/// An ejected endpoint renews its lease with three keepers every 2 s.
const LEASE_CALLS_PER_S: f64 = 1.5;
/// RPC envelope, frame length and TCP/IP headers of one message with its acknowledgement.
const MESSAGE_OVERHEAD_BYTES: f64 = 160.0;
const TARGET_BYTES_PER_S: f64 = 13_000.0;

fn encoded_len<T: Serialize>(message: &T) -> f64 {
    // Messages of plain types always serialize to MessagePack.
    rmp_serde::to_vec(message).map_or(f64::INFINITY, |b| b.len() as f64)
}

fn call_bytes<Q: Serialize, A: Serialize>(req: &Q, reply: &A) -> f64 {
    encoded_len(req) + encoded_len(reply) + 2.0 * MESSAGE_OVERHEAD_BYTES
}

fn config_update(old: &Config, new: &Config) -> ConfigUpdate {
    let (old, new) = (scale::sections_by_id(old), scale::sections_by_id(new));
    let differs = new.iter().filter(|(id, s)| old.get(*id) != Some(*s));
    let sections = differs.map(|(_, s)| s.clone()).collect();
    ConfigUpdate::Changed {
        version: ConfigVersion(2),
        root: sections::root_hash(&sections::manifest(new.values())),
        sections,
        removed: Vec::new(),
    }
}

fn watch_request() -> Result<WatchRequest> {
    Ok(WatchRequest {
        node: shallothill_core::ids::NodeName::try_new("node-1")?,
        config_version: ConfigVersion(1_000_000),
        cursor: Some(cursor()),
        complete: true,
        isolated: false,
        wait_ms: 2000,
        confirm: false,
    })
}

fn cursor() -> Cursor {
    Cursor {
        keeper: KeeperId(1),
        incarnation: Incarnation(1_796_000_000_000),
        change: 1_000_000,
    }
}

fn watch_reply(config: Option<ConfigUpdate>) -> WatchReply {
    WatchReply {
        config,
        config_version: ConfigVersion(1_000_001),
        directory: None,
        crashes: Vec::new(),
        isolated: false,
        confirmed: None,
    }
}

fn report_call_bytes(size: Scale) -> Result<f64> {
    let report = size.node_report(1)?;
    let loads = report.endpoints.iter().map(|e| EndpointLoad {
        service: e.service.clone(),
        name: e.name.clone(),
        in_flight: 7,
        queued: 14,
        completed: 1000,
        p50_us: 40_000,
        oldest_us: 90_000,
        errors: 100,
    });
    let summaries = report.endpoints.iter().map(|e| ServiceSummary {
        service: e.service.clone(),
        endpoints: 22,
        p50_us: 40_000,
        oldest_us: 90_000,
        completed: 30_000,
        errors: 1000,
    });
    let reply = ReportReply {
        config_version: ConfigVersion(1_000_000),
        summaries: summaries.collect(),
    };
    let req = ReportRequest {
        loads: loads.collect(),
        report,
        crashes: Vec::new(),
        config_version: ConfigVersion(1_000_000),
        leaving: false,
    };
    Ok(call_bytes(&req, &reply))
}

/// Returns the size of the full directory and of a delta with one changed node.
fn directory_bytes(size: Scale) -> Result<(f64, f64)> {
    let now = shallothill_core::time::Millis(0);
    let mut d = Directory::new(KeeperId(1), Incarnation(1), DirectoryOptions::default());
    for n in 0..size.nodes() {
        d.apply_report(now, size.node_report(n)?);
    }
    let full = encoded_len(&d.delta(None));
    let before = d.cursor();
    let mut changed_report = size.node_report(1)?;
    changed_report.sequence += 1;
    d.apply_report(now, changed_report);
    Ok((full, encoded_len(&d.delta(Some(before)))))
}

fn lease_call_bytes(size: Scale) -> Result<f64> {
    let report = size.node_report(1)?;
    let service = scale::service_name(1)?;
    let req = LeaseRequest {
        token: EjectionToken {
            service: service.clone(),
            region: report.zone.region.clone(),
            number: 3,
        },
        endpoint: EndpointId {
            service,
            node: report.node,
            name: shallothill_core::ids::EndpointName::try_new("e1")?,
        },
        incarnation: report.incarnation,
        round: 1000,
    };
    let reply = shallothill_directory::LeaseReply {
        keeper: KeeperId(1),
        round: 1000,
        answer: shallothill_directory::LeaseAnswer::Granted,
        budget: 4,
    };
    Ok(call_bytes(&req, &reply))
}

/// Steady traffic of one node in bytes per second, by cause.
struct Traffic {
    config: f64,
    directory: f64,
    reports: f64,
    watches: f64,
    lease: f64,
}

impl Traffic {
    fn total(&self) -> f64 {
        self.config + self.directory + self.reports + self.watches + self.lease
    }
}

fn traffic(size: Scale, changes: &mut Table) -> Result<Traffic> {
    let cfg = size.config()?;
    let full_text_bytes = scale::config_text(&cfg).len() as f64;
    let manifest = encoded_len(&sections::manifest(&sections::split(&cfg)));
    let mut sum = 0.0;
    let kinds = scale::sample_changes(&cfg);
    for (kind, new) in &kinds {
        let sent = call_bytes(
            &watch_request()?,
            &watch_reply(Some(config_update(&cfg, new))),
        );
        sum += sent;
        changes.add_row(vec![
            size.percent.to_string(),
            (*kind).to_owned(),
            format!("{sent:.0}"),
            format!("{manifest:.0}"),
            format!("{full_text_bytes:.0}"),
            format!("{:.4}", sent / full_text_bytes),
        ]);
    }
    let (_, delta) = directory_bytes(size)?;
    let share = size.percent as f64 / 100.0;
    let per_s = share / SECONDS_PER_DAY;
    let hosts = HOST_CHANGES_PER_DAY * DELTAS_PER_HOST_CHANGE * per_s;
    Ok(Traffic {
        config: sum / kinds.len() as f64 * CONFIG_CHANGES_PER_DAY * per_s,
        directory: (delta + 2.0 * MESSAGE_OVERHEAD_BYTES) * hosts,
        reports: report_call_bytes(size)? * REPORTS_PER_S,
        watches: call_bytes(&watch_request()?, &watch_reply(None)) * WATCHES_PER_S,
        lease: lease_call_bytes(size)? * LEASE_CALLS_PER_S,
    })
}

pub(super) fn run(_seed: u64, report: &mut Report) -> Result<()> {
    let columns = [
        "% of full",
        "change",
        "sent",
        "manifest",
        "whole text",
        "sent/whole",
    ];
    let mut changes = Table::new(
        "control: bytes to a node for one configuration change",
        &columns,
    );
    let columns = [
        "% of full",
        "config",
        "directory",
        "reports",
        "watches",
        "one lease",
        "total",
        "whole directory",
    ];
    let mut table = Table::new(
        "control: bytes a second of one node, both directions",
        &columns,
    );
    let mut totals = Vec::new();
    for percent in SCALE_PERCENTS {
        let size = Scale { percent };
        let t = traffic(size, &mut changes)?;
        let (full, _) = directory_bytes(size)?;
        let cell = |v: f64| format!("{v:.0}");
        table.add_row(vec![
            percent.to_string(),
            cell(t.config),
            cell(t.directory),
            cell(t.reports),
            cell(t.watches),
            cell(t.lease),
            cell(t.total()),
            cell(full),
        ]);
        totals.push(t.total());
    }
    report.tables.push(changes);
    report.tables.push(table);
    let at_full = totals.last().copied().unwrap_or(f64::INFINITY);
    report.add_bound(
        "control: a node at full size exchanges at most 13 KB/s",
        format!("{at_full:.0} B/s"),
        at_full <= TARGET_BYTES_PER_S,
    );
    Ok(())
}
