//! Announces a stand-in to the node on its host.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use log::debug;
use tokio::time;

use crate::http::Client;
use crate::server::Shared;

/// `CALL_DEADLINE` bounds one announcement.
const CALL_DEADLINE: Duration = Duration::from_secs(2);

/// `RETRY_PAUSE` is the pause after a failed announcement.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// `Announcer` announces one stand-in.
#[derive(Clone, Debug)]
pub(crate) struct Announcer {
    client: Client,
    shared: Arc<Shared>,
}

impl Announcer {
    /// `new` announces the stand-in behind `shared`.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            client: Client::default(),
            shared,
        }
    }

    /// `run` announces the stand-in within its lease and at every change.
    pub(crate) async fn run(&self) {
        loop {
            let pause = match self.announce().await {
                true => self.shared.options.announce_every,
                false => RETRY_PAUSE,
            };
            let _ = time::timeout(pause, self.shared.changed.notified()).await;
        }
    }

    /// `announce` announces the current state and tells whether the node accepted it.
    pub(crate) async fn announce(&self) -> bool {
        let body = self.shared.announcement().to_string();
        self.call(Method::PUT, Bytes::from(body)).await
    }

    /// `remove` takes the announcement back.
    pub(crate) async fn remove(&self) {
        self.call(Method::DELETE, Bytes::new()).await;
    }

    async fn call(&self, method: Method, body: Bytes) -> bool {
        let options = &self.shared.options;
        let Some(address) = options.announce else {
            return true;
        };
        let path = format!("/announce/{}/{}", options.service, options.endpoint);
        let headers = [("content-type", "application/json")];
        let sent = self
            .client
            .send(method, address, &path, &headers, body, CALL_DEADLINE);
        match sent.await {
            Ok(reply) if reply.status.is_success() => true,
            Ok(reply) => {
                debug!("announcer: the node answered {}", reply.status);
                false
            }
            Err(e) => {
                debug!("announcer: {e}");
                false
            }
        }
    }
}
