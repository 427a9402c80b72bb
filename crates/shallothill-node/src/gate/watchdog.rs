//! Weighs the evidence on the backend servers and holds ejection leases.

use std::sync::Arc;
use std::time::Duration;

use shallothill_directory::{LeaseRequest, ReleaseRequest, ServiceSummary};
use tokio::time;
use tracing::warn;

use crate::gate::{Endpoint, Gate};

/// `CALL_TIMEOUT` bounds a call for a lease; a later answer belongs to a past round.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `SUMMARY_EVERY` is the least time between two reports that only fetch a summary.
const SUMMARY_EVERY: Duration = Duration::from_millis(250);

/// `RELEASE_TRIES` bounds the repeats of a release; the lease ends by itself after that.
const RELEASE_TRIES: u32 = 3;

impl Gate {
    /// `check_endpoints` judges every backend server once; call it about every 50 ms.
    pub fn check_endpoints(self: &Arc<Self>) {
        for endpoint in self.endpoints.load().values() {
            if endpoint.is_up() {
                self.judge(endpoint);
            }
        }
    }

    /// `apply_summaries` takes what keepers say is usual for services.
    pub fn apply_summaries(&self, summaries: &[ServiceSummary]) {
        let now = self.parts.timer.now();
        for endpoint in self.endpoints.load().values() {
            let mut found = summaries
                .iter()
                .filter(|s| s.service == endpoint.id.service);
            if let Some(summary) = found.next() {
                endpoint.lock().health.summarise(now, summary);
            }
        }
    }

    fn judge(self: &Arc<Self>, endpoint: &Arc<Endpoint>) {
        let now = endpoint.now();
        let mut inner = endpoint.lock();
        let before = inner.gate.state();
        let release = inner.health.tick(now);
        inner.releases.extend(release);
        let request = inner.health.poll(now);
        inner.refresh(now);
        let after = inner.gate.state();
        let releases = std::mem::take(&mut inner.releases);
        let asks = inner.health.wants_summary(now)
            && now.saturating_since(inner.summary_asked) >= SUMMARY_EVERY;
        if asks {
            inner.summary_asked = now;
        }
        drop(inner);
        if before != after {
            warn!("gate: {} is now {}", endpoint.id, after.as_str());
        }
        if asks || before != after {
            self.parts.changed.notify_one();
        }
        releases.into_iter().for_each(|r| self.release(r));
        if let Some(request) = request {
            self.ask_lease(endpoint, &request);
        }
    }

    fn ask_lease(self: &Arc<Self>, endpoint: &Arc<Endpoint>, req: &LeaseRequest) {
        for keeper in self.parts.keepers.group(&self.parts.region) {
            let (gate, endpoint, req) = (Arc::clone(self), Arc::clone(endpoint), req.clone());
            self.parts.tasks.spawn(async move {
                let channel = keeper.channel();
                let call =
                    channel.call(CALL_TIMEOUT, |c, cx| async move { c.lease(cx, req).await });
                let Ok(reply) = call.await else { return };
                let now = endpoint.now();
                let release = {
                    let mut inner = endpoint.lock();
                    let release = inner.health.on_reply(now, &reply);
                    inner.refresh(now);
                    release
                };
                if let Some(release) = release {
                    gate.release(release);
                }
            });
        }
    }

    /// `release` gives an ejection token back at every keeper of the region.
    pub(crate) fn release(&self, req: ReleaseRequest) {
        for keeper in self.parts.keepers.group(&self.parts.region) {
            let req = req.clone();
            self.parts.tasks.spawn(async move {
                for _ in 0..RELEASE_TRIES {
                    let req = req.clone();
                    let channel = keeper.channel();
                    let call =
                        channel.call(
                            CALL_TIMEOUT,
                            |c, cx| async move { c.release(cx, req).await },
                        );
                    if call.await.is_ok() {
                        return;
                    }
                    time::sleep(CALL_TIMEOUT).await;
                }
            });
        }
    }
}
