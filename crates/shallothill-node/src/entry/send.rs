//! Sends one attempt to a gate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use shallothill_policy::pick::PathStats;
use tokio::time;
use tokio::time::Instant;

use crate::attempt::{Attempt, AttemptReply};
use crate::body::Body;
use crate::entry::Entry;
use crate::peer;
use crate::peer::{LinkError, PeerLink};
use crate::refusal::Refusal;

/// `GATE_GRACE` is how long after the deadline the reply of a gate is awaited. The gate knows
/// whether the request ran; without its reply the outcome is unknown.
const GATE_GRACE: Duration = Duration::from_millis(100);

/// `SILENCE_PART` divides the time left for a request; a peer that sends no response at all for
/// this part is picked less. It is shorter than the time to a hedge, which then avoids the path.
const SILENCE_PART: u32 = 4;

impl Entry {
    /// `send` sends an attempt to the gate of its endpoint and notes evidence about the path.
    pub(crate) async fn send(
        &self,
        attempt: Attempt,
        address: SocketAddr,
        path: Arc<PathStats>,
    ) -> AttemptReply {
        if attempt.endpoint.node == self.deps.node {
            return self.deps.gate.run(attempt, true).await;
        }
        let deadline = attempt.head.deadline;
        let req = peer::write_attempt(attempt, self.deps.store.version());
        let link = self.deps.links.link(address);
        let sent = self.send_watched(&link, req, deadline, &path);
        let sent = time::timeout_at(deadline + GATE_GRACE, sent).await;
        let now = self.deps.timer.now();
        let refusal = match sent {
            Ok(Ok(response)) => match peer::read_reply(response, deadline) {
                Some((reply, version)) => {
                    path.record_success();
                    self.deps.store.record_peer_version(version, address);
                    return reply;
                }
                None => BAD_REPLY,
            },
            Ok(Err(LinkError::NotSent(e))) => {
                tracing::debug!("entry: peer {address} is out of reach: {e}");
                OUT_OF_REACH
            }
            Ok(Err(LinkError::Failed(e))) => {
                tracing::debug!("entry: the link to peer {address} failed: {e}");
                LOST
            }
            Err(_) => SILENT,
        };
        path.record_failure(now);
        refusal.reply_without_gate()
    }

    // Marks the path while the request still waits, so that others avoid a silent peer.
    async fn send_watched(
        &self,
        link: &PeerLink,
        req: Request<Body>,
        deadline: Instant,
        path: &PathStats,
    ) -> Result<Response<Incoming>, LinkError> {
        let now = Instant::now();
        let quiet = now + deadline.saturating_duration_since(now) / SILENCE_PART;
        let before = link.responses();
        let send = link.send(req);
        tokio::pin!(send);
        if let Ok(sent) = time::timeout_at(quiet, send.as_mut()).await {
            return sent;
        }
        let now = self.deps.timer.now();
        // One sign counts once, however many requests wait; the backend server may just be slow.
        if link.responses() == before && !path.is_penalised(now) {
            tracing::debug!("entry: peer {} is silent", link.address());
            path.record_failure(now);
        }
        send.await
    }
}

const OUT_OF_REACH: Refusal = Refusal::not_run(
    "peer-unreachable",
    "the host of the backend server cannot be reached; send the request again",
);
const LOST: Refusal = Refusal::unknown(
    "peer-lost",
    "the connection to the backend server's host broke; the request may have run",
);
const SILENT: Refusal = Refusal::unknown(
    "peer-silent",
    "the backend server's host did not reply before the deadline; the request may have run",
);
const BAD_REPLY: Refusal = Refusal::unknown(
    "peer-reply",
    "the backend server's host sent a malformed reply; the request may have run",
);
