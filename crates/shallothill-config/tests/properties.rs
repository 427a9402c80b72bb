//! Properties of reading and patching under generated input, with fixed seeds.

use arbtest::arbitrary::{Result, Unstructured};
use shallothill_config::{TextPatch, read};

const SEEDS: [u64; 4] = [0x1_0000_1000, 0x2_0000_1000, 0x3_0000_1000, 0x4_0000_1000];

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
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let text = mutated(u, TEXT)?;
            if let Err(faults) = read(&text) {
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
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let old = mutated(u, TEXT)?;
            let new = mutated(u, &old)?;
            let patch = TextPatch::make(&old, &new);
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
        let patch = TextPatch::make(old, new);
        assert_eq!(patch.apply(old).unwrap(), new);
    }
    let patch = TextPatch::make("abcdef", "abXdef");
    assert!(patch.apply("ab").is_err());
    assert!(patch.apply("aéüéüéü").is_err());
}
