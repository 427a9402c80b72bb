//! The state of a request across its attempts.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::config::{ApiKey, Service};
use shallothill_core::headers;
use shallothill_core::ids::EndpointId;
use shallothill_core::time::Millis;
use shallothill_policy::gray::Caution;
use shallothill_policy::pick::{EndpointKey, Picked, ReportedLoad, ServiceTable, Tier};
use shallothill_policy::retry;
use shallothill_policy::retry::{NextStep, RefusedBy, RetryBudget, RetryOptions};
use tokio::time;

use crate::attempt;
use crate::attempt::{Attempt, AttemptReply, RequestHead};
use crate::body::Body;
use crate::entry::prepare::Payload;
use crate::gate;
use crate::gate::ParentRequest;
use crate::header_filter;
use crate::interface::HttpInterface;
use crate::peer;
use crate::refusal::Refusal;
use crate::reply_by::ReplyBy;

/// `LOAD_SHOWN_FOR` is the age up to which logs show the last reported load of a backend server.
/// The pick uses only younger reports.
const LOAD_SHOWN_FOR: Duration = Duration::from_secs(10);

/// `HELD_BODY_BYTES` is the size from which a body is held back on its way to another region.
const HELD_BODY_BYTES: u64 = 1024;

/// `BODY_HOLD` is the time in which a gate in another region can refuse an attempt by its headers,
/// one round trip. The body of a refused attempt is not sent.
const BODY_HOLD: Duration = Duration::from_millis(60);

/// `RunState` is the state of one request across its attempts.
pub(super) struct RunState {
    pub(super) head: Arc<RequestHead>,
    pub(super) payload: Option<Payload>,
    pub(super) checked_key: Option<ApiKey>,
    pub(super) service: Arc<Service>,
    pub(super) options: RetryOptions,
    pub(super) budget: Arc<RetryBudget>,
    pub(super) attempts: retry::Attempts,
    pub(super) sent_at: Millis,
    pub(super) last_attempt: Option<LastAttempt>,
    /// The running request that this one is a call of.
    pub(super) parent: Option<Arc<ParentRequest>>,
    /// The sum of the pauses for want of capacity.
    pub(super) paused: Duration,
}

/// `LastAttempt` describes the last attempt: where it was sent, and why.
pub(super) struct LastAttempt {
    endpoint: EndpointId,
    tier: Tier,
    caution: Caution,
    /// The load of the backend server, if it was reported within `LOAD_SHOWN_FOR`.
    load: Option<ReportedLoad>,
}

impl RunState {
    /// `next_step` decides what follows an attempt that ended without an answer.
    pub(super) fn next_step(&mut self, now: Millis, reply: &AttemptReply) -> NextStep {
        if reply.reached_backend {
            return self
                .attempts
                .on_attempt_end(now, reply.outcome, &self.options, &self.budget);
        }
        if reply.refused_for(peer::NOT_ARRIVED_REASON)
            && let Some(last) = &self.last_attempt
        {
            self.attempts.reconsider(EndpointKey::of(&last.endpoint));
        }
        let by = self.refused_by(now, reply);
        self.attempts.on_refusal(now, by, &self.options)
    }

    /// `new_attempt` records an attempt to `picked` and builds it.
    ///
    /// Fails if the body was streamed and is sent already.
    pub(super) fn new_attempt(
        &mut self,
        now: Millis,
        picked: &Picked<'_>,
        table: &ServiceTable,
        reply_by: &ReplyBy,
    ) -> Result<Attempt, Refusal> {
        let endpoint = picked.endpoint;
        let mut body = self.take_body().ok_or(NO_BACKEND)?;
        if picked.tier == Tier::OtherRegion
            && http_body::Body::size_hint(&body).lower() >= HELD_BODY_BYTES
        {
            body = body.held_for(BODY_HOLD);
        }
        let caution = if self.can_resend() {
            self.attempts.caution(table.endpoints().len())
        } else {
            // A refusal would be final, so only a suspected backend server may refuse.
            Caution::Settle
        };
        // The calls of a repeated request may have been made before as well.
        let made_again = self.head.call.is_some_and(|c| c.repeated);
        let repeated = made_again || self.attempts.reached_count() > 0;
        self.attempts
            .record_start(endpoint.key, &self.options, &self.budget);
        self.sent_at = now;
        self.last_attempt = Some(LastAttempt {
            endpoint: endpoint.info.id.clone(),
            tier: picked.tier,
            caution,
            load: endpoint.stats.recent_load(now, LOAD_SHOWN_FOR),
        });
        Ok(Attempt {
            head: Arc::clone(&self.head),
            endpoint: endpoint.info.id.clone(),
            number: self.attempts.sent_count(),
            trial: picked.trial,
            repeated,
            caution,
            reply_by: reply_by.clone(),
            body,
        })
    }

    /// `hedge_delay` returns the delay after which an idempotent request is hedged: at most half of
    /// the time left, so that a silent peer leaves time for another endpoint.
    pub(super) fn hedge_delay(&mut self) -> Option<Duration> {
        let now = time::Instant::now();
        let left = self.head.deadline.saturating_duration_since(now);
        let after = self.options.hedge_after.unwrap_or(left).min(left / 2);
        // The policy counts whole milliseconds; with a fraction the hedge would not look due yet
        // when the timer fires.
        let after = Duration::from_millis(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self.options.hedge_after = Some(after);
        self.head.idempotent.then_some(after)
    }

    /// `log_attempt` logs the last attempt, which has ended with `reply`.
    pub(super) fn log_attempt(&self, now: Millis, interface: &HttpInterface, reply: &AttemptReply) {
        let left = self
            .head
            .deadline
            .saturating_duration_since(time::Instant::now());
        let last = self.last_attempt.as_ref();
        tracing::info!(
            request = interface.request_id_of(&self.head.headers),
            attempt = self.attempts.sent_count(),
            server = last.map(|s| s.endpoint.to_string()),
            tier = last.map(|s| s.tier.as_str()),
            caution = last.map(|s| s.caution.as_str()),
            load = last.and_then(|s| s.load.map(attempt::format_load_header)),
            outcome = reply.outcome.as_str(),
            status = reply.response.status().as_u16(),
            reason = header_filter::single_value(reply.response.headers(), headers::REASON),
            took_ms = now.saturating_since(self.sent_at).as_millis() as u64,
            spent_ms = self.head.call.map(|c| c.spent.as_millis() as u64),
            paused_ms = self.paused.as_millis() as u64,
            left_ms = left.as_millis() as u64,
            "entry: attempt ended"
        );
    }

    // Returns who refused an attempt that did not reach the backend server.
    fn refused_by(&self, now: Millis, reply: &AttemptReply) -> RefusedBy {
        if reply.refused_for(gate::RETRY_BUDGET_REASON) {
            return RefusedBy::RetryBudget;
        }
        if reply.refused_for(gate::NO_QUORUM_REASON) {
            let after = now.saturating_since(self.sent_at);
            return RefusedBy::Ledger { after };
        }
        match self.last_attempt {
            Some(LastAttempt {
                tier: Tier::OtherRegion,
                ..
            }) => RefusedBy::OtherRegion,
            _ => RefusedBy::OwnRegion,
        }
    }

    /// `can_resend` tells whether the body can be sent again.
    pub(super) fn can_resend(&self) -> bool {
        matches!(self.payload, Some(Payload::Buffered(..)))
    }

    // Returns the body for the next attempt; `None` if a streamed body was already sent.
    fn take_body(&mut self) -> Option<Body> {
        match self.payload.take()? {
            Payload::Buffered(bytes) => {
                let body = Body::full(bytes.clone());
                self.payload = Some(Payload::Buffered(bytes));
                Some(body)
            }
            Payload::Stream(body) => Some(*body),
        }
    }

    /// `request_bytes` returns the bytes that are charged against the cross-region limit. The length
    /// of a streamed body is its lower bound.
    pub(super) fn request_bytes(&self) -> u64 {
        let body = match &self.payload {
            Some(Payload::Buffered(bytes)) => bytes.len() as u64,
            Some(Payload::Stream(body)) => http_body::Body::size_hint(&**body).lower(),
            None => 0,
        };
        body + self.head.path.as_str().len() as u64
    }
}

/// `NO_BACKEND` refuses a request for which no endpoint can be picked.
pub(super) const NO_BACKEND: Refusal = Refusal::not_run(
    "no-endpoint",
    "no backend server can take the request now; send it again",
);
