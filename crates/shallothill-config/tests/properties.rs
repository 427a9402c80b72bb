//! Properties of reading and patching under generated input, with fixed seeds.

use arbtest::arbitrary::{Result, Unstructured};
use shallothill_config::{TextPatch, parse};

/// `seeds` lists fixed seeds; each call draws one case, whose size is in the lower half.
fn seeds() -> impl Iterator<Item = u64> {
    (1..=2_000).map(|n| n << 32 | 0x400)
}

const TEXT: &str = "regions: [a, b]
services: {s: {slots: 1, connections: 1, floor: 1, disposition: quick, expected_latency: 1ms}}
routes: {r: {service: s, methods: [GET], path: /ö, idempotent: yes, class: shop, deadline: 1s}}
callers: {ç: {class: shop}}
";

/// `mutated` replaces a few pieces of `text` by pieces of YAML syntax, numbers and letters.
fn mutated(u: &mut Unstructured<'_>, text: &str) -> Result<String> {
    const PIECES: [&str; 16] = [
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
        chars.splice(at..end, u.choose(&PIECES)?.chars());
    }
    Ok(chars.into_iter().collect())
}

/// Guards against a text that ends the keeper instead of being refused.
#[test]
fn mutated_texts_cause_no_panic() {
    for seed in seeds() {
        arbtest::arbtest(|u| {
            let text = mutated(u, TEXT)?;
            if let Err(faults) = parse(&text) {
                assert!(!faults.is_empty(), "refused without a fault: {text}");
            }
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against a log entry that restores another text than was submitted.
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

/// Guards against a cut inside a character and against overlapping prefix and suffix.
#[test]
fn patches_cut_at_characters_and_refuse_other_bases() {
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

/// Guards against a combination of faults in which one hides another.
#[test]
fn any_combination_of_faults_is_found() {
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
                // A service has one fault at most, so that each fault has its own field.
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
