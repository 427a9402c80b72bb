//! The state machine of the config log.

use shallothill_config::TextPatch;
use shallothill_core::hash::ContentHash;
use shallothill_core::sections::{Manifest, SectionId};
use shallothill_core::time::UnixMillis;
use shallothill_core::version::ConfigVersion;
use shallothill_keeper::config_state::{
    CHANGES_MAX, Change, ConfigState, HISTORY_MAX, Outcome, STEPS_MAX, SectionHistory, Snapshot,
};

fn change(state: &ConfigState, id: &str, base: u64, text: &str) -> Change {
    Change {
        change_id: id.to_owned(),
        operator: "op".to_owned(),
        base: ConfigVersion(base),
        in_force: ConfigVersion(0),
        text_hash: ContentHash::of(text.as_bytes()),
        proposed: UnixMillis(1),
        labels: None,
        patch: TextPatch::diff(&state.text(), text),
    }
}

/// Stores and restores the state, as a restart or a state transfer does.
fn store_and_restore(state: &ConfigState) -> ConfigState {
    let bytes = rmp_serde::to_vec(&state.snapshot(SectionHistory::default())).unwrap();
    ConfigState::restore(rmp_serde::from_slice::<Snapshot>(&bytes).unwrap())
}

/// Guards against a lost change: of two proposals with the same base that reach the log, only the
/// first may be accepted.
#[test]
fn second_entry_with_the_same_base_conflicts() {
    let mut state = ConfigState::default();
    let (a, b) = (change(&state, "a", 0, "one"), change(&state, "b", 0, "two"));

    let outcomes = [state.apply(&a), state.apply(&b), state.apply(&b)];

    let conflict = Outcome::Conflict(ConfigVersion(1));
    assert_eq!(
        outcomes,
        [Outcome::Accepted(ConfigVersion(1)), conflict, conflict]
    );
    assert_eq!(state.text().as_ref(), "one");
}

/// Guards against resends that get another outcome than the first submission after any mix of
/// changes and restores, and against stored versions whose texts cannot be restored.
#[test]
fn holds_a_resend_gets_the_first_answer() {
    // The upper half seeds the random bytes, and the lower half is their number.
    for seed in 1..=200_u64 {
        arbtest::arbtest(|u| {
            let mut state = ConfigState::default();
            let mut texts = vec![String::new()];
            let mut sent: Vec<(Change, Outcome)> = Vec::new();
            for n in 0..u.int_in_range(1..=30)? {
                match u.int_in_range(0..=5)? {
                    0 => state = store_and_restore(&state),
                    1 if !sent.is_empty() => {
                        let (change, outcome) = u.choose(&sent)?.clone();
                        assert_eq!(state.apply(&change), outcome);
                        let other = Change {
                            text_hash: ContentHash(9, 9),
                            ..change
                        };
                        assert!(matches!(state.apply(&other), Outcome::Reused(_)));
                    }
                    _ => {
                        let base = u.int_in_range(0..=state.version().0)?;
                        let text: String = (0..u.int_in_range(0..=8)?)
                            .map(|_| u.choose(&['a', 'b', 'ö', 'ü']).copied())
                            .collect::<Result<_, _>>()?;
                        let change = change(&state, &n.to_string(), base, &text);
                        let outcome = state.apply(&change);
                        if base == texts.len() as u64 - 1 {
                            texts.push(text);
                        }
                        sent.push((change, outcome));
                    }
                }
            }
            for (version, text) in texts.iter().enumerate() {
                assert_eq!(
                    state.text_at(ConfigVersion(version as u64)).as_ref(),
                    Some(text)
                );
            }
            Ok(())
        })
        .seed(((seed * 0x9e37_79b1) << 32) | 1024);
    }
}

/// Guards against state that grows with each change.
#[test]
fn tables_are_bounded() {
    let mut state = ConfigState::default();
    let first = change(&state, "0", 0, "0");
    for n in 0..=CHANGES_MAX as u64 {
        let change = change(&state, &n.to_string(), n, &n.to_string());
        state.apply(&change);
    }

    assert_eq!(state.remembered_changes(), CHANGES_MAX);
    assert_eq!(state.history(usize::MAX).len(), HISTORY_MAX);
    assert_eq!(state.text_at(ConfigVersion(1)), None);
    assert_eq!(state.outcome_of(&first.change_id, first.text_hash), None);
}

/// Guards against versions that no node would accept, after the loss of all data folders: a new
/// version must be above those that nodes act on.
#[test]
fn new_version_is_above_the_versions_in_force() {
    let mut state = ConfigState::default();
    let first = Change {
        in_force: ConfigVersion(41),
        ..change(&state, "a", 0, "one")
    };

    let outcome = state.apply(&first);

    assert_eq!(outcome, Outcome::Accepted(ConfigVersion(42)));
    assert_eq!(state.text_at(ConfigVersion(41)), None);
}

/// Guards against nodes that miss changed sections: a node hundreds of versions behind gets all of
/// them, and a gap in the history must not count as no change.
#[test]
fn section_history_covers_its_steps_and_nothing_else() {
    let manifest = |n: u64| {
        let ids = [SectionId::Fleet, SectionId::Routes((n % 2) as u8)];
        ids.map(|id| (id, ContentHash(0, n / 500)))
            .into_iter()
            .collect::<Manifest>()
    };
    let mut history = SectionHistory::default();
    for n in 0..(STEPS_MAX as u64 + 10) {
        let (from, to) = (manifest(n), manifest(n + 1));
        history.push((ConfigVersion(n), &from), (ConfigVersion(n + 1), &to));
    }

    assert_eq!(history.len(), STEPS_MAX);
    assert_eq!(history.changed_since(ConfigVersion(9)), None);
    assert_eq!(history.changed_since(ConfigVersion(600)).unwrap().len(), 3);
    assert_eq!(
        history.changed_since(ConfigVersion(1_008)).unwrap().len(),
        2
    );

    history.push(
        (ConfigVersion(2_000), &manifest(0)),
        (ConfigVersion(2_001), &manifest(1)),
    );

    assert_eq!(history.changed_since(ConfigVersion(1_008)), None);
}
