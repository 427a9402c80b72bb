//! Serialization of configurations, and the fields for hosts, splits and announced slots.

use shallothill_config::{limits, parse, to_text};
use shallothill_core::config::{BodyMode, Config, OncePer, Share, Target};
use shallothill_core::ids::ServiceName;

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

    assert_eq!(route.host.as_deref(), Some("Desk.Example"));
    assert_eq!(route.effective(None).host.as_deref(), Some("desk.example"));
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

fn share(service: &str, weight: u32) -> Share {
    Share {
        service: ServiceName::try_new(service).unwrap(),
        weight,
    }
}

/// Returns the valid configuration with its split replaced by `shares`.
fn with_split(shares: &[Share]) -> Config {
    let mut cfg = valid();
    let route = cfg.routes.values_mut().next().unwrap();
    route.target = Target::Split(shares.to_vec());
    cfg
}

/// Guards against a split that loses a part where a service has several, and against two splits with
/// one text, which would be taken for one change.
#[test]
fn a_split_keeps_each_part_of_a_service() {
    let doubled = [
        share("queries", 60),
        share("desk", 30),
        share("queries", 10),
    ];
    let ordered = [
        share("desk", 30),
        share("queries", 60),
        share("queries", 10),
    ];
    let remaining = [share("desk", 30), share("queries", 10)];
    let (doubled, ordered) = (with_split(&doubled), with_split(&ordered));
    let remaining = with_split(&remaining);

    for cfg in [&doubled, &ordered, &remaining] {
        assert_eq!(parse(&to_text(cfg)).as_ref(), Ok(cfg));
    }

    assert_ne!(to_text(&doubled), to_text(&remaining));
    assert_ne!(to_text(&doubled), to_text(&ordered));
    let target = &doubled.routes.values().next().unwrap().target;
    let chosen = (0..100).filter_map(|point| target.choose(point));
    assert_eq!(chosen.filter(|s| s.as_str() == "queries").count(), 70);
}

/// Guards against a list of parts that is refused, and against one whose faults are missed or reported
/// at the wrong place.
#[test]
fn a_split_may_be_a_list_of_parts() {
    const MAPPING: &str = "{queries: 90, desk: 10}";
    const PART: &str = "{service: queries, weight: 60}";
    let list = format!("[{PART}, {{service: desk, weight: 30}}, {{service: queries, weight: 10}}]");
    let expected = with_split(&[
        share("queries", 60),
        share("desk", 30),
        share("queries", 10),
    ]);

    let parsed = parse(&VALID.replacen(MAPPING, &list, 1));

    assert_eq!(parsed, Ok(expected));
    let cases = [
        (
            "{service: queries}",
            "answer.split.1.weight: this field is missing",
        ),
        (
            "{service: queries, weight: 1, weight: 2}",
            "answer.split.1.weight: repeated",
        ),
        (
            "{service: queries, weight: 1, zone: a}",
            "answer.split.1.zone: unknown field",
        ),
        (
            "{service: queries, weight: -1}",
            "answer.split.1.weight: -1 is out of range",
        ),
        ("{service: nobody, weight: 1}", "no service `nobody`"),
        ("queries", "answer.split.1: expected a mapping"),
    ];
    for (second, message) in cases {
        let found = fault(MAPPING, &format!("[{PART}, {second}]"));
        assert!(found.contains(message), "{second}: {found}");
    }
    let many = vec![PART; limits::SPLIT_PARTS_MAX + 1].join(", ");
    let found = fault(MAPPING, &format!("[{many}]"));
    assert!(found.contains("above the limit"), "{found}");
}

/// Guards against two routes for one host whose names differ in letter case only.
#[test]
fn hosts_match_in_any_letter_case() {
    let second = "  again: {service: desk, host: DESK.example, methods: any, path: /answers, \
                  idempotent: true, class: shop, deadline: 1s}\ncallers:";

    let found = fault("callers:", second);

    assert!(found.contains("`answer` has the same path"), "{found}");
}
