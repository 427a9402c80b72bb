//! Parses one entry of `services`.

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

/// `ANNOUNCED` is written in place of the slots if backend servers announce their own.
pub(crate) const ANNOUNCED: &str = "announced";
/// `ANNOUNCED_QUEUE_DEFAULT` is the default queue length of a service whose slots are announced;
/// with fixed slots it is twice their number.
const ANNOUNCED_QUEUE_DEFAULT: u16 = 10;
const COLD_START_REQUESTS_DEFAULT: u32 = 50;
const RETRY_BUDGET_PERCENT_DEFAULT: u8 = 10;
const MAX_ATTEMPTS_DEFAULT: u8 = 3;

/// `parse` returns the service of `entry`, or `None` after it has reported faults.
pub(crate) fn parse(entry: &Entry, path: String, faults: &mut Faults) -> Option<Service> {
    let fields = Fields::parse(&entry.node, entry.at, path, &FIELDS, faults)?;
    let any = scalars::number(0, u32::MAX);
    let depends_on = depends_on(&fields, faults);
    let slots = fields.required("slots", faults, parse_slots);
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
    let health_path = fields.optional("health_path", faults, scalars::health_path);
    let fixed_slots = slots.flatten();
    check_connections(&fields, fixed_slots, connections, faults);
    let slots = slots?;
    let queue_default = slots.map_or(ANNOUNCED_QUEUE_DEFAULT, |s| s.saturating_mul(2));
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

/// `check_connections` reports a service with fewer connections than slots: a request in flight
/// occupies one HTTP/1.1 connection, so the remaining slots could never be used.
fn check_connections(
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

/// `parse_slots` returns the slots, or `None` if each backend server announces its own.
fn parse_slots(value: &Value) -> Result<Option<u16>, String> {
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
    let faults_before = faults.count();
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
    (faults.count() == faults_before).then_some(names)
}

fn floor(fields: &Fields<'_>, faults: &mut Faults) -> Option<Floor> {
    let entry = fields.required_entry("floor", faults)?;
    let path = fields.path_of("floor");
    match &entry.node.value {
        Value::Mapping(entries) => floor_per_region(entries, &path, faults),
        _ => endpoint_count(&entry.node, &path, faults).map(Floor::Total),
    }
}

fn floor_per_region(entries: &[Entry], path: &str, faults: &mut Faults) -> Option<Floor> {
    let faults_before = faults.count();
    let mut by_region = BTreeMap::new();
    for entry in entries {
        let field = fields::join(path, &entry.key);
        let number = endpoint_count(&entry.node, &field, faults);
        match Region::try_new(&entry.key) {
            Err(e) => faults.push(entry.at, field, e.to_string()),
            Ok(region) => {
                if by_region.insert(region, number.unwrap_or(0)).is_some() {
                    faults.push(entry.at, field, "the region stands twice; remove one");
                }
            }
        }
    }
    (faults.count() == faults_before).then_some(Floor::PerRegion(by_region))
}

fn endpoint_count(node: &Node, field: &str, faults: &mut Faults) -> Option<u32> {
    let count = scalars::number(0, limits::ENDPOINTS_MAX)(&node.value);
    count
        .map_err(|message| {
            let message = format!("{message}, the number of endpoints that are possible");
            faults.push(node.at, field, message);
        })
        .ok()
}
