//! Values of log lines.

use shallothill_core::ids::KeeperId;

/// `ids` lists keepers for a field of a line.
pub(crate) fn ids(keepers: &[KeeperId]) -> String {
    let ids: Vec<String> = keepers.iter().map(KeeperId::to_string).collect();
    ids.join(" ")
}
