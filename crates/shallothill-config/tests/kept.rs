//! Generated configurations in our own YAML, with fixed seeds: all that a text says is in the
//! configuration, in its text and in the differences that operators are shown.

use arbtest::arbitrary::{Result, Unstructured};
use shallothill_config::{diff, parse, to_text};

/// `Field` is a field with the values that it may have; `""` leaves it out.
type Field = (&'static str, &'static [&'static str]);

const DOCUMENT: [Field; 3] = [
    ("regions", &["[a, b]", "[b, a]"]),
    (
        "limits",
        &[
            "",
            "{header_bytes: 1, body_bytes: 18446744073709551615, header_timeout: 1ms, idle_timeout: 60m}",
            "{header_bytes: 1, body_bytes: 0, header_timeout: 1ms, idle_timeout: 60m}",
        ],
    ),
    ("require_keys", &["", "true"]),
];
const SERVICE: [Field; 16] = [
    ("depends_on", &["", "[t]", "[t, u]", "[u, t]"]),
    ("slots", &["1", "5", "announced"]),
    ("connections", &["10", "4294967295"]),
    ("queue", &["", "0", "3"]),
    ("floor", &["0", "3", "{a: 1, b: 2}", "{b: 2}"]),
    ("disposition", &["quick", "0.001", "0.29", "cautious"]),
    ("expected_latency", &["1ms", "999ms", "90s", "60m"]),
    ("slow_after", &["", "3s"]),
    ("cold_start_requests", &["", "0"]),
    ("gray_percent", &["", "90"]),
    ("retry_budget_percent", &["", "0", "100"]),
    ("retry_budget_saved", &["", "0"]),
    ("max_attempts", &["", "1", "10"]),
    ("hedge_after", &["", "1ms"]),
    (
        "cross_region_bytes_per_s",
        &["", "0", "18446744073709551615"],
    ),
    ("health_path", &["", "/", "'/h?a=\"b\\'''"]),
];
const ROUTE: [Field; 13] = [
    ("host", &["", "shop.example", "Shop.Example"]),
    ("methods", &["any", "[GET]", "[GET, PUT]", "[PUT, GET]"]),
    ("path", &["/", "/a", "'/a/%20;~:@'"]),
    ("below", &["", "true"]),
    ("idempotent", &["true", "false"]),
    ("once_per", &["", "attempt"]),
    ("class", &["shop", "internal"]),
    ("rank", &["", "0", "255"]),
    ("deadline", &["1ms", "60m"]),
    ("objective", &["", "1ms"]),
    ("attempts", &["", "1", "10"]),
    ("max_body_bytes", &["", "0", "67108864"]),
    ("public", &["", "false", "true"]),
];
const TARGETS: [&str; 7] = [
    "service: s",
    "service: t",
    "split: {s: 1}",
    "split: {s: 1, t: 0}",
    "split: [{service: t, weight: 2}, {service: s, weight: 1}]",
    "split: [{service: s, weight: 1}, {service: s, weight: 2}]",
    "split: [{service: s, weight: 2}, {service: t, weight: 9}, {service: s, weight: 1}]",
];
const CALLER: [Field; 6] = [
    ("class", &["shop", "editor"]),
    ("requests_per_s", &["", "1"]),
    ("concurrent", &["", "1"]),
    ("keys", &["", "['#1\"']", "[k, l]", "[l, k]"]),
    ("rank", &["", "0", "255"]),
    (
        "quota",
        &[
            "",
            "{}",
            "{requests_per_s: 0.001}",
            "{requests_per_s: 94, burst: 0}",
            "{burst: 0}",
        ],
    ),
];

/// `Picks` are the indexes of the values of a text.
type Picks = Vec<usize>;

fn fields(u: &mut Unstructured<'_>, of: &[Field], picks: &mut Picks) -> Result<String> {
    let mut written = Vec::new();
    for (name, values) in of {
        let pick = u.choose_index(values.len())?;
        picks.push(pick);
        if !values[pick].is_empty() {
            written.push(format!("{name}: {}", values[pick]));
        }
    }
    Ok(written.join(", "))
}

fn text(u: &mut Unstructured<'_>) -> Result<(String, Picks)> {
    const OTHER: &str =
        "{slots: 2, connections: 9, floor: 7, disposition: 0.5, expected_latency: 2ms}";
    let mut picks = Picks::new();
    let document = fields(u, &DOCUMENT, &mut picks)?;
    let service = fields(u, &SERVICE, &mut picks)?;
    let route = fields(u, &ROUTE, &mut picks)?;
    let caller = fields(u, &CALLER, &mut picks)?;
    let target = u.choose_index(TARGETS.len())?;
    picks.push(target);
    let target = TARGETS[target];
    let text = format!(
        "{{{document}, services: {{s: {{{service}}}, t: {OTHER}, u: {OTHER}}}, \
         routes: {{r: {{{route}, {target}}}}}, callers: {{c: {{{caller}}}}}}}"
    );
    Ok((text, picks))
}

/// Guards against a value of a text that is lost or altered in the configuration or in the text that
/// is written of it, and against a change that operators are not shown.
#[test]
fn all_that_a_text_says_is_kept() {
    for seed in (1..=1_000).map(|n| n << 32 | 0x400) {
        arbtest::arbtest(|u| {
            let ((one, picks), (other, other_picks)) = (text(u)?, text(u)?);
            let (cfg, other_cfg) = (parse(&one), parse(&other));
            let (cfg, other_cfg) = (cfg.expect(&one), other_cfg.expect(&other));

            assert_eq!(parse(&to_text(&cfg)).as_ref(), Ok(&cfg), "{one}");
            assert_eq!(cfg == other_cfg, picks == other_picks, "{one}\n{other}");
            assert_eq!(to_text(&cfg) == to_text(&other_cfg), picks == other_picks);
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against one changed value that makes no other configuration, no other text, or no difference
/// that operators are shown.
#[test]
fn each_changed_value_is_shown() {
    for seed in (1..=1_000).map(|n| n << 32 | 0x400) {
        arbtest::arbtest(|u| {
            let (one, _) = text(u)?;
            let tables: [&[Field]; 4] = [&DOCUMENT, &SERVICE, &ROUTE, &CALLER];
            let table = *u.choose(&tables)?;
            let (name, values) = *u.choose(table)?;
            let (old, new) = (u.choose(values)?, u.choose(values)?);
            let (old, new) = (format!("{name}: {old},"), format!("{name}: {new},"));
            let other = one.replacen(&old, &new, 1);
            let (cfg, other_cfg) = (parse(&one).expect(&one), parse(&other).expect(&other));

            let changes = diff(&cfg, &other_cfg);

            assert_eq!(changes.is_empty(), one == other, "{one}\n{other}");
            assert_eq!(to_text(&cfg) == to_text(&other_cfg), one == other);
            Ok(())
        })
        .seed(seed);
    }
}
