//! Logs the differences between two served configurations.

use shallothill_core::config::Config;
use shallothill_core::version::ConfigVersion;
use tracing::info;

/// `CHANGE_LINES_MAX` bounds the lines per version: the first text may add thousands of routes.
const CHANGE_LINES_MAX: usize = 32;

/// `log_changes` logs a line per difference between two served configurations, up to
/// [`CHANGE_LINES_MAX`], and one with the number of all differences.
pub(crate) fn log_changes(
    (from, old): (ConfigVersion, &Config),
    (version, new): (ConfigVersion, &Config),
) {
    let changes = shallothill_config::diff(old, new);
    for change in changes.iter().take(CHANGE_LINES_MAX) {
        info!(version = version.0, change = %change, "config: version {version} changes an item");
    }
    info!(
        version = version.0,
        from = from.0,
        changes = changes.len(),
        "config: version {version} is served"
    );
}
