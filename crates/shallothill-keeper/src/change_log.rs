//! Logs what a new configuration changes.

use shallothill_core::config::Config;
use shallothill_core::version::ConfigVersion;
use tracing::info;

/// `LINES_MAX` bounds the lines of one version; a first text of thousands of routes has more changes.
const LINES_MAX: usize = 32;

/// `log_changes` writes a line for each difference between two served configurations, up to a bound,
/// and one with their number.
pub(crate) fn log_changes(
    (from, old): (ConfigVersion, &Config),
    (version, new): (ConfigVersion, &Config),
) {
    let changes = shallothill_config::diff(old, new);
    for change in changes.iter().take(LINES_MAX) {
        info!(version = version.0, change = %change, "config: version {version} changes an item");
    }
    info!(
        version = version.0,
        from = from.0,
        changes = changes.len(),
        "config: version {version} is served"
    );
}
