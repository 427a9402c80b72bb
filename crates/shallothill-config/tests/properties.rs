//! Property tests of parsing and patching with generated input and fixed seeds.

use arbtest::arbitrary::{Result, Unstructured};
use shallothill_config::{TextPatch, parse};

/// `seeds` returns arbtest seeds: the upper half varies, the lower half is the size of the input.
fn seeds() -> impl Iterator<Item = u64> {
    (1..=2_000).map(|n| n << 32 | 0x400)
}

const TEXT: &str = "regions: [a, b]
services: {s: {slots: 1, connections: 1, floor: 1, disposition: quick, expected_latency: 1ms}}
routes: {r: {service: s, methods: [GET], path: /ö, idempotent: yes, class: shop, deadline: 1s}}
callers: {ç: {class: shop}}
";

/// `mutated` replaces up to four short ranges of `text` by YAML syntax, numbers or letters.
fn mutated(u: &mut Unstructured<'_>, text: &str) -> Result<String> {
    const FRAGMENTS: [&str; 16] = [
        "",
        ":",
        "[",
        "]",
        "{",
        "}",
        "\n",
        "  ",
        "&a ",
        "*a",
        "'",
        "-1",
        "99999999999999999999999",
        ".nan",
        "ğ€",
        "<<: ",
    ];
    let mut chars: Vec<char> = text.chars().collect();
    for _ in 0..u.int_in_range(0..=4)? {
        let at = u.choose_index(chars.len() + 1)?;
        let end = (at + u.int_in_range(0..=3)?).min(chars.len());
        chars.splice(at..end, u.choose(&FRAGMENTS)?.chars());
    }
    Ok(chars.into_iter().collect())
}

/// Guards against a malformed text that makes the parser panic, which would crash the keeper.
#[test]
fn mutated_texts_cause_no_panic() {
    for seed in seeds() {
        arbtest::arbtest(|u| {
            let text = mutated(u, TEXT)?;
            if let Err(faults) = parse(&text) {
                assert!(!faults.is_empty(), "rejected without a fault: {text}");
            }
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against a log entry whose patch restores a different text than was submitted.
#[test]
fn patches_restore_the_new_text() {
    for seed in seeds() {
        arbtest::arbtest(|u| {
            let old = mutated(u, TEXT)?;
            let new = mutated(u, &old)?;
            let patch = TextPatch::diff(&old, &new);
            assert_eq!(patch.apply(&old).as_ref(), Ok(&new), "{patch:?}");
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against a log entry that contains the text between two edits that are far apart, and
/// against edits that are applied to another base text.
#[test]
fn edits_far_apart_make_a_small_patch() {
    let lines = |n: usize| (0..n).map(|i| format!("line {i}\n")).collect::<String>();
    let old = lines(5_000);
    let new = old.replacen("line 7\n", "line seven\n", 1);
    let new = new.replacen("line 4990\n", "", 1);

    let patch = TextPatch::diff(&old, &new);

    assert_eq!(patch.apply(&old).unwrap(), new);
    let bytes = format!("{patch:?}").len();
    assert!(bytes < 500, "the patch has {bytes} bytes");
    assert!(patch.apply(&lines(3_000)).is_err());
}

/// Guards against patches that cut inside a character, whose kept prefix and suffix overlap, or
/// that apply to a base text they don't fit.
#[test]
fn patches_cut_at_character_boundaries_and_reject_other_bases() {
    for (old, new) in [
        ("aöb", "aüb"),
        ("€", "₭"),
        ("aa", "aaa"),
        ("aaa", "aa"),
        ("", "é"),
    ] {
        let patch = TextPatch::diff(old, new);
        assert_eq!(patch.apply(old).unwrap(), new);
    }
    let patch = TextPatch::diff("abcdef", "abXdef");
    assert!(patch.apply("ab").is_err());
    assert!(patch.apply("aéüéüéü").is_err());
}

/// Guards against a fault that keeps the parser from reporting another one.
#[test]
fn every_fault_of_a_combination_is_reported() {
    let services = |slots: u16| {
        (0..slots).map(|n| {
            let text = format!(
                "  s{n}: {{slots: 1, connections: 1, floor: 1, disposition: quick, \
                 expected_latency: 1ms}}\n"
            );
            (format!("services.s{n}"), text)
        })
    };
    const FAULTS: [(&str, &str, &str); 7] = [
        ("slots: 1", "slots: 0", "slots"),
        ("slots: 1", "slots: x", "slots"),
        ("floor: 1", "floor: {c: 1}", "floor.c"),
        ("quick", "1.5", "disposition"),
        ("1ms", "1h", "expected_latency"),
        ("floor", "max_attempts: 11, floor", "max_attempts"),
        ("floor", "depends_on: [none], floor", "depends_on"),
    ];
    for seed in seeds().take(500) {
        arbtest::arbtest(|u| {
            let mut document = String::from("regions: [a, b]\nservices:\n");
            let mut expected = Vec::new();
            for (path, text) in services(8) {
                // A service has at most one fault, so every reported field is distinct.
                match FAULTS.get(u.int_in_range(0..=FAULTS.len())?) {
                    Some((old, new, field)) => {
                        document.push_str(&text.replacen(old, new, 1));
                        expected.push(format!("{path}.{field}"));
                    }
                    None => document.push_str(&text),
                }
            }
            let found = parse(&document).err().unwrap_or_default();
            let fields: Vec<String> = found.into_iter().map(|f| f.field).collect();
            assert_eq!(fields, expected, "{document}");
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against a short text whose nesting or aliases exhaust the stack or the memory of a keeper.
#[test]
fn nested_and_repeated_texts_are_refused() {
    let nested = format!("regions: {}", "[".repeat(100_000));
    assert!(parse(&nested).is_err());

    let mut aliases = "regions:\n  - &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for n in 1..12 {
        let list = vec![format!("*a{}", n - 1); 10].join(", ");
        aliases.push_str(&format!("  - &a{n} [{list}]\n"));
    }
    assert!(parse(&aliases).is_err());
}
