//! Client side of the announce endpoint: registers a stand-in with the node on its host.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use log::debug;
use tokio::time;

use crate::http::Client;
use crate::server::Shared;

/// `ANNOUNCE_TIMEOUT` bounds one request to the announce endpoint, answer included.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// `RETRY_DELAY` is the time from a failed announcement to the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// `Announcer` keeps the announcement of one stand-in up to date at its node.
#[derive(Clone, Debug)]
pub(crate) struct Announcer {
    client: Client,
    shared: Arc<Shared>,
}

impl Announcer {
    /// `new` creates an announcer for the stand-in with the state `shared`; it sends nothing yet.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            client: Client::default(),
            shared,
        }
    }

    /// `run` announces the stand-in periodically, often enough to keep its lease, and at once when
    /// its state changes. It never returns.
    pub(crate) async fn run(&self) {
        loop {
            let delay = match self.announce().await {
                true => self.shared.options.announce_every,
                false => RETRY_DELAY,
            };
            let _ = time::timeout(delay, self.shared.state_changed.notified()).await;
        }
    }

    /// `announce` sends the current state and returns whether the node accepted it; without a node
    /// address it sends nothing and returns `true`.
    pub(crate) async fn announce(&self) -> bool {
        let body = self.shared.announcement().to_string();
        self.send_to_node(Method::PUT, Bytes::from(body)).await
    }

    /// `remove` withdraws the announcement; errors are only logged.
    pub(crate) async fn remove(&self) {
        self.send_to_node(Method::DELETE, Bytes::new()).await;
    }

    async fn send_to_node(&self, method: Method, body: Bytes) -> bool {
        let options = &self.shared.options;
        let Some(address) = options.announce else {
            return true;
        };
        let path = format!("/announce/{}/{}", options.service, options.endpoint);
        let headers = [("content-type", "application/json")];
        let sent = self
            .client
            .send(method, address, &path, &headers, body, ANNOUNCE_TIMEOUT);
        match sent.await {
            Ok(reply) if reply.status.is_success() => true,
            Ok(reply) => {
                debug!(
                    "announcer: the node rejected the request with status {}",
                    reply.status
                );
                false
            }
            Err(e) => {
                debug!("announcer: the request to the node failed: {e}");
                false
            }
        }
    }
}
