//! Sends one attempt to a gate.

use std::future::Future;
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
use crate::peer::{AttemptId, LinkError, PeerLink, Question};
use crate::refusal::Refusal;

/// `GATE_REPLY_GRACE` is the time after the deadline for which the entry still waits for the reply
/// of a gate. The gate knows whether the request ran; without its reply the outcome is unknown.
const GATE_REPLY_GRACE: Duration = Duration::from_millis(100);

/// `QUESTION_TIME` is the time in which a peer is asked about an attempt whose connection broke. A
/// peer that was suspended or cut off for some seconds still has the reply.
const QUESTION_TIME: Duration = Duration::from_secs(5);

/// `QUESTION_PAUSE` is the time between two messages to a peer about an attempt.
const QUESTION_PAUSE: Duration = Duration::from_millis(100);

/// `MAX_PROBING_TIME` is the time for which a peer that does not answer is probed in the background.
/// Requests try it after that.
const MAX_PROBING_TIME: Duration = Duration::from_secs(60);

/// `SILENCE_DIVISOR` divides the time left for a request. A peer that sends no response at all for
/// that fraction is picked less. The fraction is shorter than the delay of a hedge, so that the
/// hedge avoids the path.
const SILENCE_DIVISOR: u32 = 4;

impl Entry {
    /// `send` sends an attempt to the gate of its endpoint and records the success or failure of
    /// the path.
    pub(crate) async fn send(
        &self,
        attempt: Attempt,
        address: SocketAddr,
        path: Arc<PathStats>,
    ) -> AttemptReply {
        if attempt.endpoint.node == self.deps.node {
            // Boxed, as the two ways would otherwise hold the state of both.
            return Box::pin(self.deps.gate.run(attempt, true)).await;
        }
        let deadline = attempt.head.deadline;
        let idempotent = attempt.head.idempotent;
        let sent_at = self.deps.timer.now();
        let id = self.deps.links.next_attempt_id();
        let told_reply_by = attempt.reply_by.get().is_some();
        let mut req = peer::write_attempt(attempt, id, self.deps.store.version());
        peer::write_entry(req.headers_mut(), &self.deps.node);
        let link = self.deps.links.link(address);
        let sent = self.send_checking_silence(&link, req, deadline, &path);
        let sent = async {
            let sent = sent.await;
            let Err(LinkError::Failed { sent_to, .. }) = &sent else {
                return sent;
            };
            // The peer may be silent for seconds, in which other requests avoid it.
            path.record_failure(self.deps.timer.now(), sent_at);
            self.probe_path(&link, &path);
            let question = Question {
                id,
                sent_to: *sent_to,
            };
            let asked = self.ask_for_reply(&link, question, idempotent).await;
            asked.map_or(sent, Ok)
        };
        let sent = time::timeout_at(deadline + GATE_REPLY_GRACE, sent);
        let sent = if told_reply_by {
            sent.await
        } else {
            self.send_reply_limit_meanwhile(&link, id, sent).await
        };
        let now = self.deps.timer.now();
        let refusal = match sent {
            Ok(Ok(response)) => match peer::read_reply(response, deadline) {
                Some((reply, version)) => {
                    path.record_success();
                    self.deps.store.record_peer_version(version, address);
                    return reply;
                }
                None => MALFORMED_REPLY,
            },
            Ok(Err(LinkError::NotSent(e))) => {
                tracing::debug!("entry: could not send the attempt to peer {address}: {e}");
                PEER_UNREACHABLE
            }
            Ok(Err(LinkError::Failed { source, .. })) => {
                tracing::debug!("entry: the link to peer {address} failed: {source}");
                PEER_LOST
            }
            Err(_) => PEER_SILENT,
        };
        path.record_failure(now, sent_at);
        self.probe_path(&link, &path);
        refusal.reply_without_gate()
    }

    // Finds out when a peer answers again, so that no request has to.
    fn probe_path(&self, link: &Arc<PeerLink>, path: &Arc<PathStats>) {
        if !path.start_probing() {
            return;
        }
        let (link, path) = (Arc::clone(link), Arc::clone(path));
        let timer = self.deps.timer.clone();
        tokio::spawn(async move {
            let give_up_at = timer.now() + MAX_PROBING_TIME;
            // Without another holder of the path, the peer has no backend server any more.
            while timer.now() < give_up_at && Arc::strong_count(&path) > 1 {
                // The timer fails only when the process ends.
                let _ = timer.after(path.probe_pause()).await;
                let asked_at = timer.now();
                if link.answers().await {
                    path.record_success();
                    return;
                }
                path.record_failure(timer.now(), asked_at);
            }
            path.stop_probing();
        });
    }

    // Waits for `sent`. If this node begins to stop meanwhile, the gate learns by when it needs the
    // reply, so that the attempt does not wait for a slot beyond that.
    async fn send_reply_limit_meanwhile<T>(
        &self,
        link: &PeerLink,
        id: AttemptId,
        sent: impl Future<Output = T>,
    ) -> T {
        let limit = async {
            let reply_by = self.reply_by.wait_set().await;
            while let Err(e) = link.send(peer::write_reply_limit(id, reply_by)).await {
                tracing::debug!(
                    "entry: the reply limit for {} failed: {e:?}",
                    link.address()
                );
                time::sleep(QUESTION_PAUSE).await;
            }
        };
        tokio::pin!(sent);
        tokio::select! {
            biased;
            sent = sent.as_mut() => return sent,
            () = limit => {}
        }
        sent.await
    }

    // Asks on a new connection for the reply of an attempt whose connection broke; `None` if the
    // peer cannot be reached.
    async fn ask_for_reply(
        &self,
        link: &PeerLink,
        question: Question,
        idempotent: bool,
    ) -> Option<Response<Incoming>> {
        // An idempotent request is better tried elsewhere than waited for.
        let time = if idempotent {
            Duration::ZERO
        } else {
            QUESTION_TIME
        };
        let give_up_at = Instant::now() + time;
        loop {
            match link.send(peer::write_question(&question)).await {
                Ok(response) => return Some(response),
                Err(e) => {
                    tracing::debug!("entry: the question to {} failed: {e:?}", link.address());
                }
            }
            if Instant::now() >= give_up_at {
                return None;
            }
            time::sleep(QUESTION_PAUSE).await;
        }
    }

    // Records a failure of the path while the request still waits, so that other requests avoid a
    // silent peer.
    async fn send_checking_silence(
        &self,
        link: &PeerLink,
        req: Request<Body>,
        deadline: Instant,
        path: &PathStats,
    ) -> Result<Response<Incoming>, LinkError> {
        let sent_at = self.deps.timer.now();
        let now = Instant::now();
        let silent_at = now + deadline.saturating_duration_since(now) / SILENCE_DIVISOR;
        let responses_before = link.responses();
        let send = link.send(req);
        tokio::pin!(send);
        if let Ok(sent) = time::timeout_at(silent_at, send.as_mut()).await {
            return sent;
        }
        // A response to any other request shows that only the backend server is slow.
        if link.responses() == responses_before {
            tracing::debug!(
                "entry: peer {} sent no response; its path is picked less",
                link.address()
            );
            path.record_failure(self.deps.timer.now(), sent_at);
        }
        send.await
    }
}

const PEER_UNREACHABLE: Refusal = Refusal::not_run(
    "peer-unreachable",
    "the host of the backend server cannot be reached; send the request again",
);
const PEER_LOST: Refusal = Refusal::unknown(
    "peer-lost",
    "the connection to the backend server's host broke; the request may have run",
);
const PEER_SILENT: Refusal = Refusal::unknown(
    "peer-silent",
    "the backend server's host did not reply before the deadline; the request may have run",
);
const MALFORMED_REPLY: Refusal = Refusal::unknown(
    "peer-reply",
    "the backend server's host sent a malformed reply; the request may have run",
);
