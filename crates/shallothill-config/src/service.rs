//! Reads one service.

use std::collections::BTreeMap;

use shallothill_core::config::{Floor, Service};
use shallothill_core::ids::{Region, ServiceName};

use crate::faults::Faults;
use crate::fields;
use crate::fields::Fields;
use crate::limits;
use crate::node::{Entry, Node, Value};
use crate::scalars;

const FIELDS: [&str; 16] = [
    "depends_on",
    "slots",
    "connections",
    "queue",
    "floor",
    "disposition",
    "expected_latency",
    "slow_after",
    "cold_start_requests",
    "gray_percent",
    "retry_budget_percent",
    "retry_budget_saved",
    "max_attempts",
    "hedge_after",
    "cross_region_bytes_per_s",
    "health_path",
];

/// `ANNOUNCED` in place of the slots leaves them to the announcements of backend servers.
pub(crate) const ANNOUNCED: &str = "announced";
/// `QUEUE_DEFAULT` is the queue of a service whose slots are announced.
const QUEUE_DEFAULT: u16 = 10;
const COLD_START_REQUESTS_DEFAULT: u32 = 50;
const RETRY_BUDGET_PERCENT_DEFAULT: u8 = 10;
const MAX_ATTEMPTS_DEFAULT: u8 = 3;

/// `read` reads the service `entry`; `None` means that faults were reported.
pub(crate) fn read(entry: &Entry, path: String, faults: &mut Faults) -> Option<Service> {
    let fields = Fields::read(&entry.node, entry.at, path, &FIELDS, faults)?;
    let any = scalars::number(0, u32::MAX);
    let depends_on = depends_on(&fields, faults);
    let slots = fields.required("slots", faults, slots_of);
    let connections = fields.required("connections", faults, scalars::number(1, u32::MAX));
    let queue = fields.optional("queue", faults, scalars::number(0, u16::MAX));
    let floor = floor(&fields, faults);
    let disposition = fields.required("disposition", faults, scalars::disposition);
    let expected_latency = fields.required("expected_latency", faults, scalars::duration);
    let slow_after = fields.optional("slow_after", faults, scalars::duration);
    let cold_start_requests = fields.optional("cold_start_requests", faults, &any);
    let percent = scalars::number(0, 100u8);
    let gray_percent = fields.optional("gray_percent", faults, scalars::number(0, 90u8));
    let retry_budget_percent = fields.optional("retry_budget_percent", faults, percent);
    let retry_budget_saved = fields.optional("retry_budget_saved", faults, &any);
    let attempts = scalars::number(1, limits::ATTEMPTS_MAX);
    let max_attempts = fields.optional("max_attempts", faults, attempts);
    let hedge_after = fields.optional("hedge_after", faults, scalars::duration);
    let bytes = scalars::number(0, u64::MAX);
    let cross_region_bytes_per_s = fields.optional("cross_region_bytes_per_s", faults, bytes);
    let health_path = fields.optional("health_path", faults, scalars::plain_path);
    let slots_known = slots.flatten();
    enough_connections(&fields, slots_known, connections, faults);
    let slots = slots?;
    let queue_default = slots.map_or(QUEUE_DEFAULT, |s| s.saturating_mul(2));
    Some(Service {
        depends_on: depends_on?,
        slots,
        connections: connections?,
        queue: queue?.unwrap_or(queue_default),
        floor: floor?,
        disposition: disposition?,
        expected_latency: expected_latency?,
        slow_after: slow_after?,
        cold_start_requests: cold_start_requests?.unwrap_or(COLD_START_REQUESTS_DEFAULT),
        gray_percent: gray_percent?.unwrap_or(0),
        retry_budget_percent: retry_budget_percent?.unwrap_or(RETRY_BUDGET_PERCENT_DEFAULT),
        retry_budget_saved: retry_budget_saved?,
        max_attempts: max_attempts?.unwrap_or(MAX_ATTEMPTS_DEFAULT),
        hedge_after: hedge_after?,
        cross_region_bytes_per_s: cross_region_bytes_per_s?,
        health_path: health_path?,
    })
}

/// `enough_connections` reports fewer connections than slots: a request in flight occupies one
/// HTTP/1.1 connection, so the remaining slots could never be used.
fn enough_connections(
    fields: &Fields<'_>,
    slots: Option<u16>,
    connections: Option<u32>,
    faults: &mut Faults,
) {
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < u32::from(slots)
    {
        let message = format!("{connections} connections cannot fill {slots} slots; raise them");
        faults.push(
            fields.position("connections"),
            fields.path_of("connections"),
            message,
        );
    }
}

// The slots of a service, or `None` where each backend server announces its own.
fn slots_of(value: &Value) -> Result<Option<u16>, String> {
    match value {
        Value::Text(text) if text == ANNOUNCED => Ok(None),
        other => scalars::number(1, u16::MAX)(other).map(Some),
    }
}

fn depends_on(fields: &Fields<'_>, faults: &mut Faults) -> Option<Vec<ServiceName>> {
    let Some(entry) = fields.get("depends_on") else {
        return Some(Vec::new());
    };
    let field = fields.path_of("depends_on");
    let items = fields::list(&entry.node, &field, faults)?;
    let before = faults.count();
    let mut names = Vec::new();
    for item in items {
        match scalars::name(ServiceName::try_new)(&item.value) {
            Ok(name) if names.contains(&name) => {
                faults.push(
                    item.at,
                    &field,
                    format!("`{name}` stands twice; remove one"),
                );
            }
            Ok(name) => names.push(name),
            Err(message) => faults.push(item.at, &field, message),
        }
    }
    (faults.count() == before).then_some(names)
}

fn floor(fields: &Fields<'_>, faults: &mut Faults) -> Option<Floor> {
    let entry = fields.require("floor", faults)?;
    let path = fields.path_of("floor");
    match &entry.node.value {
        Value::Mapping(entries) => per_region(entries, &path, faults),
        _ => floor_number(&entry.node, &path, faults).map(Floor::Total),
    }
}

fn per_region(entries: &[Entry], path: &str, faults: &mut Faults) -> Option<Floor> {
    let before = faults.count();
    let mut by_region = BTreeMap::new();
    for entry in entries {
        let field = fields::join(path, &entry.key);
        let number = floor_number(&entry.node, &field, faults);
        match Region::try_new(&entry.key) {
            Err(e) => faults.push(entry.at, field, e.to_string()),
            Ok(region) => {
                if by_region.insert(region, number.unwrap_or(0)).is_some() {
                    faults.push(entry.at, field, "the region stands twice; remove one");
                }
            }
        }
    }
    (faults.count() == before).then_some(Floor::PerRegion(by_region))
}

fn floor_number(node: &Node, field: &str, faults: &mut Faults) -> Option<u32> {
    let read = scalars::number(0, limits::ENDPOINTS_MAX)(&node.value);
    read.map_err(|message| {
        let message = format!("{message}, the number of endpoints that are possible");
        faults.push(node.at, field, message);
    })
    .ok()
}
