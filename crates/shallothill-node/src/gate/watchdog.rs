//! Evaluates the health of the backend servers and holds ejection leases for unhealthy ones.

use std::sync::Arc;
use std::time::Duration;

use shallothill_directory::{LeaseRequest, ReleaseRequest, ServiceSummary};
use tokio::time;
use tracing::warn;

use crate::gate::{Endpoint, Gate};

/// `CALL_TIMEOUT` bounds a call to a keeper; a later reply would belong to an earlier lease round.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `MIN_SUMMARY_INTERVAL` is the minimum time between two reports that are sent only to fetch a
/// service summary.
const MIN_SUMMARY_INTERVAL: Duration = Duration::from_millis(250);

/// `MAX_RELEASE_ATTEMPTS` bounds the attempts to release a lease, which otherwise expires.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

impl Gate {
    /// `check_endpoints` evaluates the health of every endpoint; call it about every 50 ms.
    pub fn check_endpoints(self: &Arc<Self>) {
        for endpoint in self.endpoints.load().values() {
            if endpoint.is_up() {
                self.check_endpoint(endpoint);
            }
        }
    }

    /// `apply_summaries` passes the service summaries of a keeper to the endpoints, which compare
    /// themselves with the usual values of their service.
    pub fn apply_summaries(&self, summaries: &[ServiceSummary]) {
        let now = self.deps.timer.now();
        for endpoint in self.endpoints.load().values() {
            let mut found = summaries
                .iter()
                .filter(|s| s.service == endpoint.id.service);
            if let Some(summary) = found.next() {
                endpoint.lock().health.on_summary(now, summary);
            }
        }
    }

    fn check_endpoint(self: &Arc<Self>, endpoint: &Arc<Endpoint>) {
        let now = endpoint.now();
        let mut inner = endpoint.lock();
        let before = inner.gate.state();
        let release = inner.health.tick(now);
        inner.pending_releases.extend(release);
        let request = inner.health.poll_lease(now);
        inner.apply_health(now);
        let after = inner.gate.state();
        let releases = std::mem::take(&mut inner.pending_releases);
        let needs_summary = inner.health.needs_summary(now)
            && now.saturating_since(inner.summary_requested_at) >= MIN_SUMMARY_INTERVAL;
        if needs_summary {
            inner.summary_requested_at = now;
        }
        drop(inner);
        if before != after {
            warn!("gate: {} is now {}", endpoint.id, after.as_str());
        }
        if needs_summary || before != after {
            self.deps.changed.notify_one();
        }
        releases.into_iter().for_each(|r| self.release_lease(r));
        if let Some(request) = request {
            self.request_lease(endpoint, &request);
        }
    }

    fn request_lease(self: &Arc<Self>, endpoint: &Arc<Endpoint>, req: &LeaseRequest) {
        for keeper in self.deps.keepers.group(&self.deps.region) {
            let (gate, endpoint, req) = (Arc::clone(self), Arc::clone(endpoint), req.clone());
            self.deps.tasks.spawn(async move {
                let channel = keeper.channel();
                let call =
                    channel.call(CALL_TIMEOUT, |c, cx| async move { c.lease(cx, req).await });
                let Ok(reply) = call.await else { return };
                let now = endpoint.now();
                let release = {
                    let mut inner = endpoint.lock();
                    let release = inner.health.on_lease_reply(now, &reply);
                    inner.apply_health(now);
                    release
                };
                if let Some(release) = release {
                    gate.release_lease(release);
                }
            });
        }
    }

    /// `release_lease` releases an ejection lease at every keeper of the region.
    pub(crate) fn release_lease(&self, req: ReleaseRequest) {
        for keeper in self.deps.keepers.group(&self.deps.region) {
            let req = req.clone();
            self.deps.tasks.spawn(async move {
                for _ in 0..MAX_RELEASE_ATTEMPTS {
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
