//! Publishes each new configuration, from the config log or from a process with a higher version.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::hash::ContentHash;
use tokio::sync::watch;
use tokio::task;
use tokio_util::sync::CancellationToken;
use tracing::error;

use crate::fetch::ConfigFetcher;
use crate::keeper::{Keeper, lock};
use crate::published::PublishedConfig;

/// `LOG_HEAD_START` is the time that the log gets to deliver an observed version before the version
/// is fetched; nodes that follow other keepers usually report it a moment before the log delivers
/// it.
const LOG_HEAD_START: Duration = Duration::from_millis(300);

/// `SLOW_TEXT_BYTES` is the size from which parsing a text can take longer than [`LOG_HEAD_START`];
/// on a busy host, 6 MB take about 1.3 s.
const SLOW_TEXT_BYTES: usize = 1024 * 1024;

/// `FETCH_RETRY_DELAY` is the delay after a fetch that found no source with the version.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(700);

/// `run` publishes new versions until `stop` is cancelled; `applied` is notified after each change
/// that the log applies.
pub async fn run(keeper: Arc<Keeper>, mut applied: watch::Receiver<()>, stop: CancellationToken) {
    let mut highest = keeper.subscribe_highest_version();
    let fetcher = ConfigFetcher::default();
    loop {
        applied.mark_unchanged();
        highest.mark_unchanged();
        let step = async {
            if is_slow_to_parse(&keeper) {
                // The keeper that checked the text publishes it at once, so fetching the changed
                // sections is faster than parsing the text here.
                let _ = keeper.timer.after(LOG_HEAD_START).await;
                fetcher.fetch_newest(&keeper).await;
            }
            publish_applied(&keeper).await;
            if *highest.borrow() > keeper.published.load().version() {
                tokio::select! {
                    _ = keeper.timer.after(LOG_HEAD_START) => {}
                    _ = applied.changed() => return,
                }
                if lock(&keeper.state).version() <= keeper.published.load().version() {
                    fetcher.fetch_newest(&keeper).await;
                }
                if *highest.borrow() > keeper.published.load().version() {
                    // No reachable process has the version; a change or a newer version may follow.
                    tokio::select! {
                        _ = applied.changed() => {}
                        _ = highest.changed() => {}
                        _ = keeper.timer.after(FETCH_RETRY_DELAY) => {}
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

// Whether the log has applied a large text that this keeper has not parsed in a check.
fn is_slow_to_parse(keeper: &Keeper) -> bool {
    let (version, text) = {
        let state = lock(&keeper.state);
        (state.version(), state.text())
    };
    if version <= keeper.published.load().version() || text.len() < SLOW_TEXT_BYTES {
        return false;
    }
    let checked = lock(&keeper.checked_config).as_ref().map(|(hash, _)| *hash);
    !keeper.peers.all().is_empty() && checked != Some(ContentHash::of(text.as_bytes()))
}

/// `publish_applied` publishes the version that the log has applied, if it is higher than the
/// served one.
pub async fn publish_applied(keeper: &Arc<Keeper>) {
    let (version, text) = {
        let state = lock(&keeper.state);
        (state.version(), state.text())
    };
    let current = keeper.published.load_full();
    if version <= current.version() {
        return;
    }
    let mut sections = lock(&keeper.section_history).clone();
    sections.truncate(version);
    let checked = lock(&keeper.checked_config).clone();
    let next = task::spawn_blocking(move || {
        let config = match checked {
            Some((hash, config)) if hash == ContentHash::of(text.as_bytes()) => config,
            _ => Arc::new(shallothill_config::parse_accepted(&text).ok()?),
        };
        // A restored snapshot contains the history up to its version.
        if sections.last_version() == Some(version) {
            return Some(PublishedConfig::new(version, config, sections));
        }
        Some(current.next_version(version, config))
    });
    match next.await {
        Ok(Some(next)) => keeper.publish(next),
        _ => error!(
            "config: the accepted version {version} cannot be read by this release; run the same \
             release on all keepers"
        ),
    }
}
