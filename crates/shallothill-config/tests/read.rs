//! Parsing of configuration texts: values, and position, message and completeness of the faults.

use std::time::Duration;

use shallothill_config::{diff, limits, parse, parse_accepted};
use shallothill_core::config::{Disposition, Fault, Floor};

const VALID: &str = "\
regions: [marmara, ege]
services:
  inventory: {slots: 7, connections: 350, floor: 6, disposition: 0.25, expected_latency: 10ms}
  courier:
    depends_on: [inventory]
    slots: 7
    connections: 350
    floor: {marmara: 2, ege: 1}
    disposition: cautious
    expected_latency: 40ms
    hedge_after: 2m
routes:
  book-pickup:
    service: courier
    methods: [POST]
    path: /courier/pickups
    idempotent: false
    class: shop
    deadline: 10s
callers:
  shop-izmir-1: {class: shop, requests_per_s: 50}
";

fn faults(text: &str) -> Vec<Fault> {
    parse(text).err().unwrap_or_default()
}

/// Guards against a valid text that yields other values than it states, or wrong defaults.
#[test]
fn valid_text_is_parsed_with_defaults() {
    let cfg = parse(VALID).unwrap();
    let courier = cfg
        .services
        .iter()
        .find(|(n, _)| n.as_str() == "courier")
        .unwrap()
        .1;
    assert_eq!(
        (courier.slots, courier.queue, courier.max_attempts),
        (Some(7), 14, 3)
    );
    assert_eq!(courier.hedge_after, Some(Duration::from_secs(120)));
    assert_eq!(courier.floor.total(), 3);
    let inventory = cfg
        .services
        .iter()
        .find(|(n, _)| n.as_str() == "inventory")
        .unwrap()
        .1;
    assert_eq!(inventory.disposition, Disposition::from_thousandths(250));
    assert_eq!(inventory.floor, Floor::Total(6));
    assert_eq!(
        cfg.routes.values().next().unwrap().max_body_bytes,
        1024 * 1024
    );
}

/// Guards against a fault that is missed, reported at the wrong position or without a remedy.
#[test]
fn every_kind_of_fault_is_reported_at_its_position() {
    // (text to replace, replacement, line, column, field, part of the message)
    let cases = [
        (
            "slots: 7\n",
            "slots: 0\n",
            6,
            12,
            "services.courier.slots",
            "from 1 to",
        ),
        (
            "slots: 7\n",
            "slots: '7'\n",
            6,
            12,
            "services.courier.slots",
            "found text",
        ),
        (
            "hedge_after: 2m",
            "hedge: 2m",
            11,
            5,
            "services.courier.hedge",
            "unknown field",
        ),
        (
            "slots: 7\n",
            "slots: 7\n    slots: 8\n",
            7,
            5,
            "services.courier.slots",
            "repeated",
        ),
        (
            "    slots: 7\n",
            "",
            4,
            3,
            "services.courier.slots",
            "missing",
        ),
        (
            "40ms",
            "40",
            10,
            23,
            "services.courier.expected_latency",
            "`10s`",
        ),
        (
            "40ms",
            "1.5s",
            10,
            23,
            "services.courier.expected_latency",
            "not a duration",
        ),
        (
            "[inventory]",
            "[stock]",
            5,
            18,
            "services.courier.depends_on",
            "no service `stock`",
        ),
        (
            "service: courier",
            "service: x",
            14,
            14,
            "routes.book-pickup.service",
            "no service `x`",
        ),
        (
            "{marmara: 2, ege: 1}",
            "24001",
            8,
            12,
            "services.courier.floor",
            "24000",
        ),
        (
            "ege: 1}",
            "izmir: 1}",
            8,
            12,
            "services.courier.floor.izmir",
            "not listed",
        ),
        (
            "cautious",
            "1.1",
            9,
            18,
            "services.courier.disposition",
            "0.0 to 1.0",
        ),
        (
            "hedge_after: 2m",
            "max_attempts: 0",
            11,
            19,
            "services.courier.max_attempts",
            "1 to 10",
        ),
        (
            "class: shop\n",
            "class: clerk\n",
            18,
            12,
            "routes.book-pickup.class",
            "one of",
        ),
        (
            "[POST]",
            "[post]",
            15,
            15,
            "routes.book-pickup.methods",
            "POST",
        ),
        (
            "/courier/pickups",
            "/courier/",
            16,
            11,
            "routes.book-pickup.path",
            "write `/courier`",
        ),
        (
            "callers:",
            "customers:",
            20,
            1,
            "customers",
            "unknown field",
        ),
        (
            "[marmara, ege]",
            "[marmara, ege, ege]",
            1,
            25,
            "regions",
            "twice",
        ),
        (
            "connections: 350\n",
            "connections: 6\n",
            7,
            18,
            "services.courier.connections",
            "fill",
        ),
    ];
    for (old, new, line, column, field, message) in cases {
        let text = VALID.replacen(old, new, 1);
        assert_ne!(text, VALID, "{old} does not occur");
        let found = faults(&text);
        assert_eq!(found.len(), 1, "{new}: {found:?}");
        let position = (found[0].line, found[0].column, found[0].field.as_str());
        assert_eq!(position, (line, column, field), "{new}: {found:?}");
        assert!(found[0].message.contains(message), "{new}: {found:?}");
    }
}

/// Guards against numbers that are rounded without a word, by which a small quota became none, and
/// against a text in force that a newer release cannot read.
#[test]
fn numbers_with_more_than_three_decimals_are_rejected() {
    let quota = |rate: &str| format!("{{class: shop, quota: {{requests_per_s: {rate}}}}}");
    let with_quota =
        |rate: &str| VALID.replacen("{class: shop, requests_per_s: 50}", &quota(rate), 1);
    let with_disposition =
        |x: &str| VALID.replacen("disposition: 0.25", &format!("disposition: {x}"), 1);

    for x in ["0.2504", "0.0004", "0.9999999"] {
        for text in [with_quota(x), with_disposition(x)] {
            assert_ne!(text, VALID);
            let found = faults(&text);
            assert_eq!(found.len(), 1, "{x}: {found:?}");
            assert!(
                found[0].message.contains("up to three decimals"),
                "{found:?}"
            );
        }
    }
    let accepted = parse_accepted(&with_disposition("0.2504"));
    assert_eq!(accepted, parse(VALID));
    for n in 0..=1000 {
        let x = (f64::from(n) / 1000.0).to_string();
        assert_eq!(faults(&with_quota(&x)), []);
        assert_eq!(faults(&with_disposition(&x)), []);
    }
}

/// Guards against a dependency cycle that is accepted, or reported without its services.
#[test]
fn dependency_cycles_are_reported_with_their_services() {
    let text = VALID.replacen("{slots", "{depends_on: [courier], slots", 1);
    let found = faults(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0].message.contains("courier -> inventory -> courier"),
        "{found:?}"
    );
}

/// Guards against two routes that match the same requests.
#[test]
fn routes_with_the_same_method_and_path_are_rejected() {
    let second = "  again: {service: courier, methods: [GET, POST], path: /courier/pickups, \
                  idempotent: true, class: shop, deadline: 1s}\ncallers:";
    let found = faults(&VALID.replacen("callers:", second, 1));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0]
            .message
            .contains("`book-pickup` has the same path and method POST")
    );
}

/// Guards against a parser that stops at the first fault.
#[test]
fn all_faults_are_reported_in_one_pass() {
    let text = VALID
        .replace("slots: 7", "slots: 0")
        .replace("deadline: 10s", "deadline: soon")
        .replace("class: shop", "class: clerk")
        .replace("[POST]", "[]");
    let fields: Vec<String> = faults(&text).into_iter().map(|f| f.field).collect();
    let expected = [
        "services.inventory.slots",
        "services.courier.slots",
        "routes.book-pickup.methods",
        "routes.book-pickup.class",
        "routes.book-pickup.deadline",
        "callers.shop-izmir-1.class",
    ];
    assert_eq!(fields, expected);
}

/// Guards against limits that are not enforced, or faults that do not state the limit.
#[test]
fn faults_state_the_exceeded_limit() {
    let long = "#".repeat(limits::TEXT_MAX_BYTES + 1);
    assert!(faults(&long)[0].message.contains("7340032 bytes"));
    let callers: String = (0..=limits::CALLERS_MAX)
        .map(|n| format!("  c{n}: {{class: shop}}\n"))
        .collect();
    let found = faults(&VALID.replacen("callers:\n", &format!("callers:\n{callers}"), 1));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!((found[0].line, found[0].field.as_str()), (20, "callers"));
    assert!(found[0].message.contains("100000"), "{found:?}");
}

/// Guards against a diff that omits a change.
#[test]
fn diff_lists_all_changes() {
    let new = VALID
        .replacen("slots: 7\n", "slots: 8\n", 1)
        .replacen("    hedge_after: 2m\n", "", 1)
        .replacen("shop-izmir-1", "shop-izmir-2", 1);
    let changes = diff(&parse(VALID).unwrap(), &parse(&new).unwrap());
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let expected = [
        "~ services.courier.slots: 7 -> 8",
        "~ services.courier.queue: 14 -> 16",
        "- services.courier.hedge_after: 2m",
        "- callers.shop-izmir-1: {class: shop, requests_per_s: 50}",
        "+ callers.shop-izmir-2: {class: shop, requests_per_s: 50}",
    ];
    assert_eq!(lines, expected);
}

/// Guards against example files that the parser rejects.
#[test]
fn examples_are_valid() {
    for text in [
        include_str!("../../../examples/texas.yaml"),
        include_str!("../../../examples/kopukcu.yaml"),
    ] {
        assert_eq!(faults(text), []);
    }
}
