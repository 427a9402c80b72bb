//! Picks endpoints for a request and runs its attempts, retries and hedges.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use shallothill_core::config::Service;
use shallothill_core::hash::Fingerprint;
use shallothill_core::headers;
use shallothill_core::ids::EndpointId;
use shallothill_core::outcome::Outcome;
use shallothill_core::time::Millis;
use shallothill_policy::gray::Caution;
use shallothill_policy::limits::Permit;
use shallothill_policy::pick::{
    EndpointKey, PickRequest, Picked, ReportedLoad, ServiceTable, Tier,
};
use shallothill_policy::retry;
use shallothill_policy::retry::{NextStep, RefusedBy, RetryBudget, RetryOptions};
use shallothill_wire::crash::CrashNotice;
use tokio::time;

use crate::attempt;
use crate::attempt::{Attempt, AttemptReply, RequestHead};
use crate::body::Body;
use crate::entry::ended_attempt;
use crate::entry::ended_attempt::EndedAttempt;
use crate::entry::prepare::{Payload, Prepared};
use crate::entry::stop;
use crate::entry::{Entry, InFlight};
use crate::gate;
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
struct RunState {
    head: Arc<RequestHead>,
    payload: Option<Payload>,
    service: Arc<Service>,
    options: RetryOptions,
    budget: Arc<RetryBudget>,
    attempts: retry::Attempts,
    sent_at: Millis,
    last_attempt: Option<LastAttempt>,
}

/// `LastAttempt` describes the last attempt: where it was sent, and why.
struct LastAttempt {
    endpoint: EndpointId,
    tier: Tier,
    caution: Caution,
    /// The load of the backend server, if it was reported within `LOAD_SHOWN_FOR`.
    load: Option<ReportedLoad>,
}

impl Entry {
    /// `run` sends attempts until the request is answered or no further attempt is allowed.
    pub(crate) async fn run(&self, prepared: Prepared) -> (AttemptReply, InFlight) {
        let Prepared {
            head,
            payload,
            permit,
        } = prepared;
        let Some(service) = self.deps.store.load().service(&head.service).cloned() else {
            return (NO_SERVICE.reply_without_gate(), InFlight::new(permit, None));
        };
        let now = self.deps.timer.now();
        let left = head
            .deadline
            .saturating_duration_since(time::Instant::now());
        let mut options = RetryOptions::from_service(&service);
        options.max_attempts = head.max_attempts.unwrap_or(options.max_attempts);
        let r = RunState {
            attempts: retry::Attempts::new(head.idempotent, now + left),
            budget: self.retry_budget(&head.service),
            head,
            payload: Some(payload),
            service,
            options,
            sent_at: now,
            last_attempt: None,
        };
        self.run_all(r, permit).await
    }

    // Runs the first attempt, retries and hedges. Without an answer it returns the reply of the
    // most severe outcome.
    async fn run_all(&self, mut r: RunState, permit: Option<Permit>) -> (AttemptReply, InFlight) {
        let mut running = FuturesUnordered::new();
        let mut worst: Option<EndedAttempt> = None;
        match self.start_attempt(&mut r) {
            Ok(attempt) => running.push(attempt),
            Err(refusal) => {
                self.delay_failure(&r).await;
                return (refusal.reply_without_gate(), InFlight::new(permit, None));
            }
        }
        let hedge = hedge_timer(r.hedge_delay());
        tokio::pin!(hedge);
        let final_answer_due = self.final_answer_due();
        tokio::pin!(final_answer_due);
        let mut hedged = false;
        loop {
            let ended = tokio::select! {
                ended = running.next() => ended,
                () = hedge.as_mut(), if !hedged => {
                    hedged = true;
                    let now = self.deps.timer.now();
                    if r.can_resend() && r.attempts.try_hedge(now, r.sent_at, &r.options, &r.budget)
                        && let Ok(attempt) = self.start_attempt(&mut r)
                    {
                        running.push(attempt);
                    }
                    continue;
                }
                () = final_answer_due.as_mut() => {
                    let reply = stop::STOPPED.reply_without_gate();
                    return (reply, InFlight::new(permit, None));
                }
            };
            let Some(ended) = ended else { break };
            let now = self.deps.timer.now();
            let outcome = ended.reply.outcome;
            r.log_attempt(now, &self.deps.interface, &ended.reply);
            if outcome == Outcome::Answered || !ended.reply.allows_retry(r.head.idempotent) {
                worst = Some(ended);
                break;
            }
            let next = r.next_step(now, &ended.reply);
            worst = Some(ended_attempt::more_severe(worst, ended));
            match next {
                NextStep::Wait => {}
                NextStep::Return(_) => break,
                NextStep::Retry => match self.start_attempt(&mut r) {
                    Ok(attempt) => running.push(attempt),
                    Err(_) => break,
                },
            }
            hedge.set(hedge_timer(r.hedge_delay()));
            hedged = false;
        }
        // Dropping the remaining attempts cancels them at their gates.
        drop(running);
        let Some(ended) = worst else {
            return (NO_BACKEND.reply_without_gate(), InFlight::new(permit, None));
        };
        if ended.reply.outcome != Outcome::Answered {
            self.delay_failure(&r).await;
        }
        let guard = InFlight::new(permit, Some(ended.in_flight));
        let guard = guard.with_answer(ended.quarantine_permit, &self.deps.timer);
        (ended.reply, guard)
    }

    // Delays a failed reply until other nodes have received the crash notice, so that the caller
    // cannot resend the request to them before that.
    async fn delay_failure(&self, r: &RunState) {
        let now = self.deps.timer.now();
        let delay = self.deps.crashes.withhold_time(now, r.head.fingerprint);
        tokio::select! {
            () = time::sleep(delay) => {}
            () = self.final_answer_due() => {}
        }
    }

    fn record_crash(
        &self,
        now: Millis,
        reply: &AttemptReply,
        fingerprint: Fingerprint,
        id: EndpointId,
    ) {
        if let Some(crash) = reply.crash_number {
            let notice = CrashNotice {
                fingerprint,
                endpoint: id,
                crash,
                age_ms: 0,
            };
            self.deps.crashes.record_crash(now, &notice);
        }
    }

    // Picks an endpoint and returns the attempt as a future. Fails when no endpoint can be picked
    // or the quarantine refuses the request.
    fn start_attempt<'a>(
        &'a self,
        r: &mut RunState,
    ) -> Result<impl Future<Output = EndedAttempt> + Send + use<'a>, Refusal> {
        self.check_time_left()?;
        let now = self.deps.timer.now();
        let quarantine_permit = self
            .deps
            .crashes
            .request_permit(now, r.head.fingerprint)
            .map_err(gate::quarantine_refusal)?;
        let tables = self.deps.view.tables();
        let table = tables.service(&r.head.service).ok_or(NO_BACKEND)?;
        let req = PickRequest {
            idempotent: r.head.idempotent,
            avoid: r.attempts.used_endpoints(),
            cross_region_bytes_per_s: r.service.cross_region_bytes_per_s,
        };
        let picked = table.pick(now, &mut rand::rng(), &req).ok_or(NO_BACKEND)?;
        let endpoint = picked.endpoint;
        if picked.tier == Tier::OtherRegion {
            let bytes = r.request_bytes();
            let limit = r.service.cross_region_bytes_per_s;
            table.cross_region_bytes().charge(now, bytes, limit);
        }
        let attempt = r.new_attempt(now, &picked, table, &self.reply_by)?;
        let id = endpoint.info.id.clone();
        let stats = Arc::clone(&endpoint.stats);
        let path = Arc::clone(&endpoint.path);
        let address = endpoint.info.peer_address;
        let in_flight = stats.start_request();
        let fingerprint = r.head.fingerprint;
        Ok(async move {
            let reply = self.send(attempt, address, path).await;
            let now = self.deps.timer.now();
            if let Some(load) = reply.load {
                stats.record_load(now, load);
            }
            self.record_crash(now, &reply, fingerprint, id);
            // Any other outcome releases the quarantine permit at once, for the next attempt.
            let quarantine_permit = reply.clears_crashes().then_some(quarantine_permit);
            EndedAttempt {
                reply,
                in_flight,
                quarantine_permit,
            }
        })
    }
}

impl RunState {
    // Decides what follows an attempt that ended without an answer.
    fn next_step(&mut self, now: Millis, reply: &AttemptReply) -> NextStep {
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
        let by = self.refused_by(reply);
        self.attempts.on_refusal(now, by, &self.options)
    }

    // Records an attempt to `picked` and builds it.
    fn new_attempt(
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
        let repeated = self.attempts.reached_count() > 0;
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

    // Returns the delay after which an idempotent request is hedged: at most half of the time left,
    // so that a silent peer leaves time for another endpoint.
    fn hedge_delay(&mut self) -> Option<Duration> {
        let now = time::Instant::now();
        let left = self.head.deadline.saturating_duration_since(now);
        let after = self.options.hedge_after.unwrap_or(left).min(left / 2);
        // The policy counts whole milliseconds; with a fraction the hedge would not look due yet
        // when the timer fires.
        let after = Duration::from_millis(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self.options.hedge_after = Some(after);
        self.head.idempotent.then_some(after)
    }

    fn log_attempt(&self, now: Millis, interface: &HttpInterface, reply: &AttemptReply) {
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
            left_ms = left.as_millis() as u64,
            "entry: attempt ended"
        );
    }

    // Returns who refused an attempt that did not reach the backend server.
    fn refused_by(&self, reply: &AttemptReply) -> RefusedBy {
        if reply.refused_for(gate::RETRY_BUDGET_REASON) {
            return RefusedBy::RetryBudget;
        }
        match self.last_attempt {
            Some(LastAttempt {
                tier: Tier::OtherRegion,
                ..
            }) => RefusedBy::OtherRegion,
            _ => RefusedBy::OwnRegion,
        }
    }

    fn can_resend(&self) -> bool {
        matches!(self.payload, Some(Payload::Buffered(..)))
    }

    // Returns the body for the next attempt; `None` if a streamed body was already sent.
    fn take_body(&mut self) -> Option<Body> {
        match self.payload.take()? {
            Payload::Buffered(bytes, reserved) => {
                let body = Body::full(bytes.clone());
                self.payload = Some(Payload::Buffered(bytes, reserved));
                Some(body)
            }
            Payload::Stream(body) => Some(*body),
        }
    }

    // Returns the bytes that are charged against the cross-region limit. The length of a streamed
    // body is its lower bound.
    fn request_bytes(&self) -> u64 {
        let body = match &self.payload {
            Some(Payload::Buffered(bytes, _)) => bytes.len() as u64,
            Some(Payload::Stream(body)) => http_body::Body::size_hint(&**body).lower(),
            None => 0,
        };
        body + self.head.path.as_str().len() as u64
    }
}

async fn hedge_timer(after: Option<Duration>) {
    match after {
        Some(after) => time::sleep(after).await,
        None => std::future::pending().await,
    }
}

const NO_SERVICE: Refusal = Refusal::not_run(
    "no-service",
    "the service of the route is not configured; send the request again",
);
const NO_BACKEND: Refusal = Refusal::not_run(
    "no-endpoint",
    "no backend server can take the request now; send it again",
);
