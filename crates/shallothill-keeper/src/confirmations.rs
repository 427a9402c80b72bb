//! Confirms the newest configuration version for all nodes of this keeper with one question.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;
use shallothill_wire::watch::Confirmed;
use tokio::sync::Notify;
use tracing::{info, warn};

use crate::keeper::{Keeper, lock};
use crate::submit;

/// `QUESTION_INTERVAL` is the time between the starts of two questions to the primary.
const QUESTION_INTERVAL: Duration = Duration::from_millis(500);

/// `WANTED_AFTER_WATCH` is the time after the end of a watch for which its node is expected to send
/// the next one.
const WANTED_AFTER_WATCH: Duration = Duration::from_secs(2);

/// `SERVE_TIMEOUT` is the time for which a confirmation is held back while this keeper does not serve
/// its version yet, which is longer than a heartbeat of the log takes to bring it. Nodes that hear
/// the confirmation first refuse requests until they have the version.
const SERVE_TIMEOUT: Duration = Duration::from_millis(400);

/// `Confirmations` holds the last confirmed version and whether nodes ask for it.
#[derive(Debug, Default)]
pub struct Confirmations {
    wanted_until_ms: AtomicU64,
    wanted: Notify,
    latest: Mutex<Option<(ConfigVersion, Millis)>>,
}

impl Confirmations {
    /// `want_until` asks for confirmations until the watch that ends at `end` should have been
    /// followed by another one.
    pub fn want_until(&self, end: Millis) {
        let until = end + WANTED_AFTER_WATCH;
        self.wanted_until_ms.fetch_max(until.0, Ordering::Relaxed);
        self.wanted.notify_one();
    }

    /// `latest` returns the last confirmation, with the time of its question relative to `arrived`.
    pub fn latest(&self, arrived: Millis) -> Option<Confirmed> {
        let (version, asked) = (*lock(&self.latest))?;
        Some(Confirmed {
            version,
            relative_ms: asked.0 as i64 - arrived.0 as i64,
        })
    }

    fn is_wanted(&self, now: Millis) -> bool {
        now.0 < self.wanted_until_ms.load(Ordering::Relaxed)
    }
}

/// `run` asks the primary for the accepted version while nodes want confirmations.
pub async fn run(keeper: Arc<Keeper>) {
    let confirmations = &keeper.confirmations;
    let mut confirmed = true;
    loop {
        // Read before the question is sent: the answer covers what was acknowledged before, and
        // nothing that this process may have missed while it was suspended.
        let asked = keeper.timer.now();
        if !confirmations.is_wanted(asked) {
            confirmations.wanted.notified().await;
            continue;
        }
        let answer = submit::confirmed_version(&keeper).await;
        match (&answer, confirmed) {
            (Err(e), true) => {
                warn!("config: the newest version cannot be confirmed to nodes: {e:?}")
            }
            (Ok(_), false) => info!("config: the newest version is confirmed to nodes again"),
            _ => {}
        }
        confirmed = answer.is_ok();
        if let Ok(version) = answer {
            keeper.observe_version(version);
            wait_until_served(&keeper, version).await;
            *lock(&confirmations.latest) = Some((version, asked));
        }
        let used = keeper.timer.now().saturating_since(asked);
        // The timer fails only when the process ends.
        let _ = keeper
            .timer
            .after(QUESTION_INTERVAL.saturating_sub(used))
            .await;
    }
}

async fn wait_until_served(keeper: &Keeper, version: ConfigVersion) {
    let mut updates = keeper.subscribe_changes();
    let end = keeper.timer.after(SERVE_TIMEOUT);
    tokio::pin!(end);
    while keeper.published.load().version() < version {
        tokio::select! {
            _ = updates.changed() => {}
            _ = end.as_mut() => return,
        }
    }
}
