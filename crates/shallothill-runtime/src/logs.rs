//! Sets up logging to standard error.

use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

use crate::errors;

/// `init` logs everything at `level` or above to standard error, with UTC times.
///
/// Fails with `Logs` when the process has set up logging before.
pub fn init(level: log::LevelFilter) -> errors::Result<()> {
    let cfg = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .add_filter_allow_str("shallothill")
        .build();
    TermLogger::init(level, cfg, TerminalMode::Stderr, ColorChoice::Never).map_err(|e| {
        errors::LogsSnafu {
            message: e.to_string(),
        }
        .build()
    })
}
