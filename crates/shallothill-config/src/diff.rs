//! Lists the differences between two configurations in readable form.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fmt::Display;
use std::time::Duration;

use shallothill_core::config::{
    ApiKey, BodyMode, Caller, Config, Floor, Quota, Route, Service, Target,
};
use shallothill_core::hash;

/// `Change` describes one field or item that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The path of the field or item, such as `services.courier.floor`.
    pub field: String,
    /// The old value, or `None` for a new field or item.
    pub old: Option<String>,
    /// The new value, or `None` for a removed field or item.
    pub new: Option<String>,
}

impl Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.field),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.field),
            (Some(old), None) => write!(f, "- {}: {old}", self.field),
            (None, None) => write!(f, "  {}", self.field),
        }
    }
}

/// `FieldValues` lists the fields of an item with their text, `None` for absent ones.
type FieldValues = Vec<(&'static str, Option<String>)>;

/// `diff` lists the changes from `old` to `new`: regions, limits, services, routes and callers,
/// sorted by name within each.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    let regions = |cfg: &Config| Some(format!("[{}]", comma_separated(&cfg.regions)));
    push_if_changed(
        &mut changes,
        String::from("regions"),
        regions(old),
        regions(new),
    );
    push_if_changed(
        &mut changes,
        String::from("limits"),
        limits(old),
        limits(new),
    );
    let require_keys = |cfg: &Config| Some(cfg.require_keys.to_string());
    push_if_changed(
        &mut changes,
        String::from("require_keys"),
        require_keys(old),
        require_keys(new),
    );
    diff_items(
        &mut changes,
        "services",
        &old.services,
        &new.services,
        service,
    );
    diff_items(&mut changes, "routes", &old.routes, &new.routes, route);
    diff_items(&mut changes, "callers", &old.callers, &new.callers, caller);
    changes
}

fn diff_items<N: Display + Ord, T: PartialEq>(
    changes: &mut Vec<Change>,
    kind: &str,
    old: &BTreeMap<N, T>,
    new: &BTreeMap<N, T>,
    field_values: fn(&T) -> FieldValues,
) {
    let names: BTreeSet<&N> = old.keys().chain(new.keys()).collect();
    for name in names {
        let path = format!("{kind}.{name}");
        match (old.get(name), new.get(name)) {
            (Some(a), Some(b)) if a != b => {
                for ((field, a), (_, b)) in field_values(a).into_iter().zip(field_values(b)) {
                    push_if_changed(changes, format!("{path}.{field}"), a, b);
                }
            }
            (Some(_), Some(_)) | (None, None) => {}
            (a, b) => push_if_changed(
                changes,
                path,
                a.map(|a| item_text(field_values(a))),
                b.map(|b| item_text(field_values(b))),
            ),
        }
    }
}

fn push_if_changed(
    changes: &mut Vec<Change>,
    field: String,
    old: Option<String>,
    new: Option<String>,
) {
    if old != new {
        changes.push(Change { field, old, new });
    }
}

/// `item_text` writes an added or removed item with the fields that are present.
fn item_text(values: FieldValues) -> String {
    let present = values.into_iter().filter_map(|(n, v)| Some((n, v?)));
    let parts: Vec<String> = present.map(|(n, v)| format!("{n}: {v}")).collect();
    format!("{{{}}}", parts.join(", "))
}

fn service(s: &Service) -> FieldValues {
    let disposition = s.disposition.interpolate(0.0, 1.0);
    vec![
        (
            "depends_on",
            Some(format!("[{}]", comma_separated(&s.depends_on))),
        ),
        ("slots", s.slots.map(|n| n.to_string())),
        ("connections", Some(s.connections.to_string())),
        ("queue", Some(s.queue.to_string())),
        ("floor", Some(floor(&s.floor))),
        ("disposition", Some(disposition.to_string())),
        ("expected_latency", Some(duration(s.expected_latency))),
        ("slow_after", s.slow_after.map(duration)),
        (
            "cold_start_requests",
            Some(s.cold_start_requests.to_string()),
        ),
        ("gray_percent", Some(s.gray_percent.to_string())),
        (
            "retry_budget_percent",
            Some(s.retry_budget_percent.to_string()),
        ),
        (
            "retry_budget_saved",
            s.retry_budget_saved.map(|n| n.to_string()),
        ),
        ("max_attempts", Some(s.max_attempts.to_string())),
        ("hedge_after", s.hedge_after.map(duration)),
        (
            "cross_region_bytes_per_s",
            s.cross_region_bytes_per_s.map(|n| n.to_string()),
        ),
        ("health_path", s.health_path.clone()),
    ]
}

fn route(r: &Route) -> FieldValues {
    vec![
        ("target", Some(target(&r.target))),
        ("host", r.host.clone()),
        (
            "methods",
            Some(format!("[{}]", comma_separated(&r.methods))),
        ),
        ("path", Some(r.path.clone())),
        ("below", r.below.then(|| String::from("true"))),
        ("idempotent", Some(r.idempotent.to_string())),
        ("once_per", Some(format!("{:?}", r.once_per).to_lowercase())),
        ("class", Some(r.class.to_string())),
        ("rank", r.rank.map(|n| n.to_string())),
        ("deadline", Some(duration(r.deadline))),
        ("objective", r.objective.map(duration)),
        ("attempts", r.attempts.map(|n| n.to_string())),
        ("max_body_bytes", Some(r.max_body_bytes.to_string())),
        (
            "body",
            (r.body == BodyMode::Streamed).then(|| String::from("streamed")),
        ),
        ("public", r.public.map(|p| p.to_string())),
    ]
}

fn target(target: &Target) -> String {
    match target {
        Target::Service(service) => service.to_string(),
        Target::Split(shares) => {
            let parts = shares
                .iter()
                .map(|s| format!("{}: {}", s.service, s.weight));
            format!("{{{}}}", parts.collect::<Vec<_>>().join(", "))
        }
    }
}

fn limits(cfg: &Config) -> Option<String> {
    let l = cfg.limits?;
    Some(format!(
        "{{header_bytes: {}, body_bytes: {}, header_timeout: {}, idle_timeout: {}}}",
        l.header_bytes,
        l.body_bytes,
        duration(l.header_timeout),
        duration(l.idle_timeout)
    ))
}

fn caller(c: &Caller) -> FieldValues {
    vec![
        ("class", Some(c.class.to_string())),
        ("requests_per_s", c.requests_per_s.map(|n| n.to_string())),
        ("concurrent", c.concurrent.map(|n| n.to_string())),
        ("keys", keys(&c.keys)),
        ("rank", c.rank.map(|n| n.to_string())),
        ("quota", c.quota.as_ref().map(quota)),
    ]
}

// Keys are secrets, and differences are shown and logged. A short hash tells which of them changed.
fn keys(keys: &[ApiKey]) -> Option<String> {
    let hashes = keys.iter().map(|k| {
        let secret = k.expose_secret().as_bytes();
        format!("#{:08x}", hash::hash64(secret) >> 32)
    });
    let hashes: Vec<String> = hashes.collect();
    (!hashes.is_empty()).then(|| format!("[{}]", hashes.join(", ")))
}

fn quota(q: &Quota) -> String {
    let field = |n: Option<String>| n.unwrap_or_else(|| String::from("none"));
    let rate = field(q.requests_per_s.map(|r| r.to_string()));
    let burst = field(q.burst.map(|n| n.to_string()));
    format!("{{requests_per_s: {rate}, burst: {burst}}}")
}

fn floor(floor: &Floor) -> String {
    match floor {
        Floor::Total(n) => n.to_string(),
        Floor::PerRegion(by_region) => {
            let parts: Vec<String> = by_region.iter().map(|(r, n)| format!("{r}: {n}")).collect();
            format!("{{{}}}", parts.join(", "))
        }
    }
}

/// `duration` writes a duration in the largest of the units `m`, `s` and `ms` that leaves no
/// fraction; parts of a millisecond are cut off.
pub(crate) fn duration(d: Duration) -> String {
    match d.as_millis() {
        ms if ms % 60_000 == 0 => format!("{}m", ms / 60_000),
        ms if ms % 1_000 == 0 => format!("{}s", ms / 1_000),
        ms => format!("{ms}ms"),
    }
}

fn comma_separated<T: Display>(items: &[T]) -> String {
    let texts: Vec<String> = items.iter().map(T::to_string).collect();
    texts.join(", ")
}
