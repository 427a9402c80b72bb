//! Starts the graceful shutdown of a process on SIGTERM or SIGINT.

use snafu::ResultExt;
use tokio::signal::unix;
use tokio::signal::unix::SignalKind;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::errors;

/// `on_signal` returns a token that is cancelled at the first SIGTERM or SIGINT.
///
/// Fails with `InstallSignalHandlers` when the handlers cannot be installed.
pub fn on_signal() -> errors::Result<CancellationToken> {
    let mut term =
        unix::signal(SignalKind::terminate()).context(errors::InstallSignalHandlersSnafu)?;
    let mut int =
        unix::signal(SignalKind::interrupt()).context(errors::InstallSignalHandlersSnafu)?;
    let stop = CancellationToken::new();
    let token = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        info!("shutdown: signal received, stopping the process");
        token.cancel();
    });
    Ok(stop)
}
