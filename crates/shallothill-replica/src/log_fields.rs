//! Formatting of log fields.

use shallothill_core::ids::KeeperId;

/// `format_ids` joins keeper ids with spaces.
pub(crate) fn format_ids(keepers: &[KeeperId]) -> String {
    let ids: Vec<String> = keepers.iter().map(KeeperId::to_string).collect();
    ids.join(" ")
}
