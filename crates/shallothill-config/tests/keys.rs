//! Keys, ranks and quotas of callers in the configuration text.

use shallothill_config::{diff, parse, to_text};
use shallothill_core::config::Config;

const VALID: &str = "\
regions: [north]
require_keys: true
services:
  desk: {slots: 5, connections: 300, floor: 0, disposition: quick, expected_latency: 40ms}
routes:
  look-up: {service: desk, methods: [GET], path: /desk, idempotent: true, class: editor, deadline: 5s,
    public: true}
callers:
  office: {class: editor, keys: [k-office-1, k-office-2], rank: 1, quota: {requests_per_s: 2.5, burst: 9}}
  press: {class: editor, keys: [k-press], quota: {requests_per_s: 0}}
";

fn valid() -> Config {
    parse(VALID).unwrap()
}

fn faults_with(old: &str, new: &str) -> String {
    let text = VALID.replacen(old, new, 1);
    assert_ne!(text, VALID, "{old} does not occur");
    let faults = parse(&text).err().unwrap_or_default();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Guards against keys, ranks, quotas and public routes that are lost when a text is serialized.
#[test]
fn keys_and_quotas_survive_serialization() {
    let cfg = valid();

    let again = parse(&to_text(&cfg)).unwrap();

    assert_eq!(again, cfg);
    assert!(again.require_keys && again.routes.values().all(|r| r.public == Some(true)));
    let office = again.callers.values().next().unwrap();
    assert_eq!(office.keys.len(), 2);
    assert_eq!(office.rank, Some(1));
    let rate = office.quota.and_then(|q| q.limited_rate()).unwrap();
    assert_eq!(rate.per_second(), 2.5);
}

/// Guards against a quota of 0 that refuses everything, although it means no limit.
#[test]
fn rate_of_zero_is_no_limit() {
    let cfg = valid();

    let press = cfg.callers.values().last().unwrap();

    assert_eq!(press.quota.unwrap().limited_rate(), None);
}

/// Guards against two callers with one key, and against faults and differences that show a key.
#[test]
fn faults_and_differences_name_callers_and_no_key() {
    let shared = faults_with("[k-press]", "[k-office-2]");
    let empty = faults_with("[k-press]", "['']");
    let twice = faults_with("[k-press]", "[k-press, k-press]");
    let without = parse(&VALID.replacen("[k-press]", "[k-new]", 1)).unwrap();
    let changes = diff(&valid(), &without);

    assert!(
        shared.contains("callers.press.keys") && shared.contains("`office`"),
        "{shared}"
    );
    assert!(empty.contains("1 to 256"), "{empty}");
    assert!(twice.contains("listed twice"), "{twice}");
    assert_eq!(changes.len(), 1);
    let shown = format!("{shared}{twice}{}{:?}", changes[0], valid());
    let secrets = ["k-office", "k-press", "k-new"];
    assert!(
        !secrets.iter().any(|k| shown.contains(k)),
        "a key is shown: {shown}"
    );
}
