//! Sends one attempt to a gate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use shallothill_policy::pick::PathStats;
use tokio::time;

use crate::attempt::{Attempt, Reply};
use crate::entry::Entry;
use crate::peer;
use crate::peer::LinkError;
use crate::refusal::Refusal;

/// `GATE_GRACE` is how long after the deadline the reply of a gate is awaited. The gate knows
/// whether the request ran; without its reply the outcome is unknown.
const GATE_GRACE: Duration = Duration::from_millis(100);

impl Entry {
    /// `send` sends an attempt to the gate of its endpoint and notes evidence about the path.
    pub(crate) async fn send(
        &self,
        attempt: Attempt,
        address: SocketAddr,
        path: Arc<PathStats>,
    ) -> Reply {
        if attempt.endpoint.node == self.parts.node {
            return self.parts.gate.run(attempt, true).await;
        }
        let deadline = attempt.head.deadline;
        let req = peer::write_attempt(attempt, self.parts.store.version());
        let link = self.parts.links.link(address);
        let sent = time::timeout_at(deadline + GATE_GRACE, link.send(req)).await;
        let now = self.parts.timer.now();
        let refusal = match sent {
            Ok(Ok(response)) => match peer::read_reply(response, deadline) {
                Some((reply, version)) => {
                    path.succeeded();
                    self.parts.store.note_from(version, address);
                    return reply;
                }
                None => BAD_REPLY,
            },
            Ok(Err(LinkError::NotSent(e))) => {
                log::debug!("entry: peer {address} is out of reach: {e}");
                OUT_OF_REACH
            }
            Ok(Err(LinkError::Failed(e))) => {
                log::debug!("entry: the link to peer {address} failed: {e}");
                LOST
            }
            Err(_) => SILENT,
        };
        path.failed(now);
        refusal.on_path()
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
