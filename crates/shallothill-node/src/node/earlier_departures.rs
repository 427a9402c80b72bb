//! Restores the departures of backend servers that were confirmed before the start of the node.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_directory::DEPARTURE_RETENTION;
use tracing::{info, warn};

use crate::control::recent_departures;
use crate::node::{Node, VERSION_RETRY_PAUSE};

/// `LATE_RETRY_PAUSE` is the pause between questions to the keepers once the node serves without
/// their answer.
const LATE_RETRY_PAUSE: Duration = Duration::from_secs(1);

impl Node {
    /// `restore_departures` asks the keepers for the departures until `serve_at`, and goes on in the
    /// background if no majority has answered. No backend server is registered before `serve_at`, and
    /// after it only those that show that they live, so that an announcement from before the start of
    /// this process does not register one that has left.
    pub(super) async fn restore_departures(self: Arc<Self>, serve_at: Millis) {
        // Departures that were recorded before the start of the node expire until then.
        let expired_at = self.timer.now() + DEPARTURE_RETENTION;
        if self.ask_until(serve_at, VERSION_RETRY_PAUSE).await {
            return;
        }
        warn!("node: too few keepers answer; earlier departures are not known yet");
        self.gate.register_by_life_signs();
        tokio::spawn(async move {
            let known = self.ask_until(expired_at, LATE_RETRY_PAUSE).await;
            if !known && !self.end_tasks.is_cancelled() {
                info!("node: no departure from before the start of the node counts any more");
                self.gate.restore_departures(&[]);
            }
        });
    }

    // Returns whether a majority of the keepers has answered before `end`.
    async fn ask_until(&self, end: Millis, pause: Duration) -> bool {
        loop {
            let departures = recent_departures(&self.keepers, &self.settings.node).await;
            if let Some(departures) = departures {
                info!("node: {} earlier departures are known", departures.len());
                self.gate.restore_departures(&departures);
                return true;
            }
            if self.timer.now() >= end {
                return false;
            }
            tokio::select! {
                _ = self.timer.after(pause) => {}
                () = self.end_tasks.cancelled() => return false,
            }
        }
    }
}
