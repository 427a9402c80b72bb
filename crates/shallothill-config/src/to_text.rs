//! Serializes a configuration to text, for programs that build configurations.

use std::time::Duration;

use serde_json::{Map, Value, json};
use shallothill_core::config::{
    BodyMode, Caller, Config, Floor, Limits, OncePer, Quota, Route, Service, Target,
};

use crate::diff;
use crate::service::ANNOUNCED;
use crate::split;

/// `to_text` returns a text that [`crate::parse`] turns back into `cfg`. Equal configurations have
/// equal texts, with one field a line, so that patches between versions stay small.
pub fn to_text(cfg: &Config) -> String {
    let mut document = Map::new();
    document.insert("regions".to_owned(), json!(cfg.regions));
    if let Some(limits) = &cfg.limits {
        document.insert("limits".to_owned(), caller_limits(limits));
    }
    if cfg.require_keys {
        document.insert("require_keys".to_owned(), json!(true));
    }
    let services = cfg.services.iter().map(|(n, s)| (n.as_str(), service(s)));
    document.insert("services".to_owned(), mapping(services));
    let routes = cfg.routes.iter().map(|(n, r)| (n.as_str(), route(r)));
    document.insert("routes".to_owned(), mapping(routes));
    let callers = cfg.callers.iter().map(|(n, c)| (n.as_str(), caller(c)));
    document.insert("callers".to_owned(), mapping(callers));
    // The parser accepts JSON, which is a subset of YAML.
    format!("{:#}\n", Value::Object(document))
}

fn mapping<'a>(items: impl Iterator<Item = (&'a str, Value)>) -> Value {
    Value::Object(items.map(|(n, v)| (n.to_owned(), v)).collect())
}

/// `without_nulls` removes the optional fields that are absent.
fn without_nulls(fields: Value) -> Value {
    match fields {
        Value::Object(map) => {
            Value::Object(map.into_iter().filter(|(_, v)| !v.is_null()).collect())
        }
        other => other,
    }
}

fn duration(d: Duration) -> Value {
    Value::String(diff::duration(d))
}

fn caller_limits(l: &Limits) -> Value {
    json!({
        "header_bytes": l.header_bytes,
        "body_bytes": l.body_bytes,
        "header_timeout": duration(l.header_timeout),
        "idle_timeout": duration(l.idle_timeout),
    })
}

fn service(s: &Service) -> Value {
    let floor = match &s.floor {
        Floor::Total(n) => json!(n),
        Floor::PerRegion(by_region) => json!(by_region),
    };
    without_nulls(json!({
        "depends_on": s.depends_on,
        "slots": s.slots.map_or_else(|| json!(ANNOUNCED), |n| json!(n)),
        "connections": s.connections,
        "queue": s.queue,
        "floor": floor,
        "disposition": s.disposition.interpolate(0.0, 1.0),
        "expected_latency": duration(s.expected_latency),
        "slow_after": s.slow_after.map(duration),
        "cold_start_requests": s.cold_start_requests,
        "gray_percent": s.gray_percent,
        "retry_budget_percent": s.retry_budget_percent,
        "retry_budget_saved": s.retry_budget_saved,
        "max_attempts": s.max_attempts,
        "hedge_after": s.hedge_after.map(duration),
        "cross_region_bytes_per_s": s.cross_region_bytes_per_s,
        "health_path": s.health_path,
    }))
}

fn route(r: &Route) -> Value {
    let (service, split) = match &r.target {
        Target::Service(service) => (json!(service), Value::Null),
        Target::Split(shares) => (Value::Null, split::to_json(shares)),
    };
    let methods = if r.methods.is_empty() {
        json!("any")
    } else {
        json!(r.methods)
    };
    let once_per = match r.once_per {
        OncePer::Key => "key",
        OncePer::Attempt => "attempt",
    };
    without_nulls(json!({
        "service": service,
        "split": split,
        "host": r.host,
        "methods": methods,
        "path": r.path,
        "below": r.below,
        "idempotent": r.idempotent,
        "once_per": once_per,
        "class": r.class,
        "rank": r.rank,
        "deadline": duration(r.deadline),
        "objective": r.objective.map(duration),
        "attempts": r.attempts,
        "max_body_bytes": r.max_body_bytes,
        "body": (r.body == BodyMode::Streamed).then_some(r.body),
        "public": r.public,
    }))
}

fn caller(c: &Caller) -> Value {
    without_nulls(json!({
        "class": c.class,
        "requests_per_s": c.requests_per_s,
        "concurrent": c.concurrent,
        "keys": (!c.keys.is_empty()).then_some(&c.keys),
        "rank": c.rank,
        "quota": c.quota.map(quota),
    }))
}

fn quota(q: Quota) -> Value {
    without_nulls(json!({
        "requests_per_s": q.requests_per_s.map(|r| match r.thousandths() {
            n if n % 1000 == 0 => json!(n / 1000),
            _ => json!(r.per_second()),
        }),
        "burst": q.burst,
    }))
}
