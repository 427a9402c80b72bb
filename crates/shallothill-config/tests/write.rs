//! Serialization of configurations, and the fields for hosts, splits and announced slots.

use shallothill_config::{parse, to_text};
use shallothill_core::config::{BodyMode, Config, OncePer, Target};

const VALID: &str = "\
regions: [north, south]
limits: {header_bytes: 16384, body_bytes: 1048576, header_timeout: 3s, idle_timeout: 15s}
services:
  desk: {slots: announced, connections: 330, queue: 10, floor: 0, disposition: quick,
    expected_latency: 400ms, slow_after: 3s, gray_percent: 30, retry_budget_saved: 54,
    health_path: /health}
  queries: {slots: 5, connections: 300, floor: {north: 1}, disposition: 0.25,
    expected_latency: 40ms, hedge_after: 2m}
routes:
  answer:
    split: {queries: 90, desk: 10}
    host: Desk.Example
    methods: any
    path: /answers
    below: true
    idempotent: false
    once_per: attempt
    class: author
    rank: 1
    deadline: 3s
    objective: 1s
    attempts: 2
    body: streamed
  look-up: {service: desk, methods: [GET], path: /desk, idempotent: true, class: editor, deadline: 5s}
callers:
  office: {class: editor, requests_per_s: 50}
";

fn valid() -> Config {
    parse(VALID).unwrap()
}

fn fault(old: &str, new: &str) -> String {
    let text = VALID.replacen(old, new, 1);
    assert_ne!(text, VALID, "{old} does not occur");
    let faults = parse(&text).err().unwrap_or_default();
    assert_eq!(faults.len(), 1, "{new}: {faults:?}");
    faults[0].to_string()
}

/// Guards against a configuration that changes when it is serialized and parsed again.
#[test]
fn serialized_configuration_parses_to_the_same_value() {
    let cfg = valid();

    let text = to_text(&cfg);

    assert_eq!(parse(&text).unwrap(), cfg);
    assert_eq!(to_text(&parse(&text).unwrap()), text);
}

/// Guards against hosts, splits, `once_per`, `body`, `any` and announced slots that are parsed wrongly.
#[test]
fn hosts_splits_and_announced_slots_are_parsed() {
    let cfg = valid();
    let route = cfg.routes.values().next().unwrap();

    assert_eq!(route.host.as_deref(), Some("desk.example"));
    assert_eq!(route.target.total_weight(), 100);
    assert_eq!(route.once_per, OncePer::Attempt);
    assert_eq!(route.body, BodyMode::Streamed);
    assert!(route.methods.is_empty() && route.below);
    let slots: Vec<_> = cfg.services.values().map(|s| s.slots).collect();
    assert_eq!(slots, [None, Some(5)]);
}

/// Guards against a split that does not divide requests according to its weights.
#[test]
fn split_divides_points_by_weight() {
    let cfg = valid();
    let target = &cfg.routes.values().next().unwrap().target;
    let Target::Split(shares) = target else {
        panic!("the route is not split");
    };

    let chosen = (0..100).filter_map(|point| target.choose(point));
    let first = chosen.filter(|s| **s == shares[0].service).count();

    assert_eq!(first as u32, shares[0].weight);
    assert_eq!(target.choose(100), None);
}

/// Guards against routes whose target, host or objective cannot apply to any request.
#[test]
fn contradictory_routes_are_rejected() {
    let cases = [
        (
            "{queries: 90, desk: 10}",
            "{queries: 0, desk: 0}",
            "add up to 0",
        ),
        (
            "{queries: 90, desk: 10}",
            "{queries: 90, nobody: 10}",
            "no service",
        ),
        (
            "{queries: 90, desk: 10}",
            "{queries: -1, desk: 10}",
            "out of range",
        ),
        ("host: Desk.Example", "host: ''", "`` is no host"),
        ("objective: 1s", "objective: 63s", "above the deadline"),
        (
            "idempotent: false\n",
            "idempotent: true\n",
            "sent only once",
        ),
        (
            "    split:",
            "    service: desk\n    split:",
            "exclude each other",
        ),
    ];

    for (old, new, message) in cases {
        let found = fault(old, new);
        assert!(found.contains(message), "{new}: {found}");
    }
}
