//! Serves each new configuration, from the log or from whoever has a higher version.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::hash::ContentHash;
use tokio::sync::watch;
use tokio::task;
use tokio_util::sync::CancellationToken;
use tracing::error;

use crate::fetch::Fetch;
use crate::keeper::{Keeper, lock};
use crate::published::Published;

/// `LOG_HEAD_START` is the time that the log gets to deliver a version that was heard of before
/// its text is fetched; nodes of other keepers usually report it a moment earlier.
const LOG_HEAD_START: Duration = Duration::from_millis(300);

/// `SLOW_BYTES` is the size from which reading a text takes longer than [`LOG_HEAD_START`]; 6 MB
/// take about 1.3 s on a busy machine.
const SLOW_BYTES: usize = 1024 * 1024;

/// `FETCH_AGAIN` is the pause after no source had the version.
const FETCH_AGAIN: Duration = Duration::from_millis(700);

/// `run` publishes until `stop` is cancelled; `applied` is woken when the log applied a change.
pub async fn run(keeper: Arc<Keeper>, mut applied: watch::Receiver<()>, stop: CancellationToken) {
    let mut highest = keeper.highest();
    let fetch = Fetch::default();
    loop {
        applied.mark_unchanged();
        highest.mark_unchanged();
        let step = async {
            if reads_slowly(&keeper) {
                // The keeper that checked the text serves it at once, so the changed sections
                // arrive sooner than this one could read the text.
                let _ = keeper.timer.after(LOG_HEAD_START).await;
                fetch.newest(&keeper).await;
            }
            publish_applied(&keeper).await;
            if *highest.borrow() > keeper.published.load().version() {
                tokio::select! {
                    _ = keeper.timer.after(LOG_HEAD_START) => {}
                    _ = applied.changed() => return,
                }
                if lock(&keeper.state).version() <= keeper.published.load().version() {
                    fetch.newest(&keeper).await;
                }
                if *highest.borrow() > keeper.published.load().version() {
                    // Nobody who answers has it; the next change or message may bring it.
                    tokio::select! {
                        _ = applied.changed() => {}
                        _ = highest.changed() => {}
                        _ = keeper.timer.after(FETCH_AGAIN) => {}
                    }
                }
                return;
            }
            tokio::select! {
                _ = applied.changed() => {}
                _ = highest.changed() => {}
            }
        };
        tokio::select! {
            () = step => {}
            () = stop.cancelled() => return,
        }
    }
}

// Tells whether the log has applied a large text that this keeper has not checked itself.
fn reads_slowly(keeper: &Keeper) -> bool {
    let (version, text) = {
        let state = lock(&keeper.state);
        (state.version(), state.text())
    };
    if version <= keeper.published.load().version() || text.len() < SLOW_BYTES {
        return false;
    }
    let checked = lock(&keeper.checked).as_ref().map(|(hash, _)| *hash);
    !keeper.peers.all().is_empty() && checked != Some(ContentHash::of(text.as_bytes()))
}

/// `publish_applied` serves the version that the log has applied, if it is newer.
pub async fn publish_applied(keeper: &Arc<Keeper>) {
    let (version, text) = {
        let state = lock(&keeper.state);
        (state.version(), state.text())
    };
    let current = keeper.published.load_full();
    if version <= current.version() {
        return;
    }
    let mut sections = lock(&keeper.sections).clone();
    sections.truncate(version);
    let checked = lock(&keeper.checked).clone();
    let next = task::spawn_blocking(move || {
        let config = match checked {
            Some((hash, config)) if hash == ContentHash::of(text.as_bytes()) => config,
            _ => Arc::new(shallothill_config::read(&text).ok()?),
        };
        // A snapshot of the log brings the history that leads to its version.
        if sections.last() == Some(version) {
            return Some(Published::new(version, config, sections));
        }
        Some(current.next(version, config))
    });
    match next.await {
        Ok(Some(next)) => keeper.publish(next),
        _ => error!(
            "config: the accepted version {version} cannot be read by this release; run the same \
             release on all keepers"
        ),
    }
}
