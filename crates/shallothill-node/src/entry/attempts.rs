//! Picks endpoints for a request and follows its attempts, retries and hedges.

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
use shallothill_policy::pick;
use shallothill_policy::pick::{PickRequest, Picked, ReportedLoad, ServiceTable, Tier};
use shallothill_policy::retry;
use shallothill_policy::retry::{NextStep, RefusedBy, RetryBudget, RetryOptions};
use shallothill_wire::crash::CrashNotice;
use tokio::time;

use crate::attempt;
use crate::attempt::{Attempt, AttemptReply, RequestHead};
use crate::body::Body;
use crate::crashes::QuarantinePermit;
use crate::entry::prepare::{Payload, Prepared};
use crate::entry::{Entry, InFlight};
use crate::gate;
use crate::header_filter;
use crate::interface::HttpInterface;
use crate::refusal::Refusal;

/// `LOAD_SHOWN_FOR` is the age up to which logs show what the entry was told of a backend server's load;
/// the pick acts on a younger one only.
const LOAD_SHOWN_FOR: Duration = Duration::from_secs(10);

/// `Ended` is an attempt that has ended.
struct Ended {
    reply: AttemptReply,
    picked: pick::InFlight,
    // Of an answer that clears the fingerprint once it has arrived.
    place: Option<QuarantinePermit>,
}

/// `Pursuit` is one request on its way to an answer.
struct Pursuit {
    head: Arc<RequestHead>,
    payload: Option<Payload>,
    service: Arc<Service>,
    options: RetryOptions,
    budget: Arc<RetryBudget>,
    attempts: retry::Attempts,
    sent: Millis,
    last: Option<Sent>,
}

/// `Sent` is what decided about the last attempt.
struct Sent {
    endpoint: EndpointId,
    tier: Tier,
    caution: Caution,
    /// What the entry had been told of the backend server's load lately.
    load: Option<ReportedLoad>,
}

impl Entry {
    /// `run` sends a request until it is answered or no attempt is left.
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
        let pursuit = Pursuit {
            attempts: retry::Attempts::new(head.idempotent, now + left),
            budget: self.budget(&head.service),
            head,
            payload: Some(payload),
            service,
            options,
            sent: now,
            last: None,
        };
        self.pursue(pursuit, permit).await
    }

    async fn pursue(&self, mut p: Pursuit, permit: Option<Permit>) -> (AttemptReply, InFlight) {
        let mut running = FuturesUnordered::new();
        let mut worst: Option<Ended> = None;
        match self.start(&mut p) {
            Ok(attempt) => running.push(attempt),
            Err(refusal) => {
                self.withhold(&p).await;
                return (refusal.reply_without_gate(), InFlight::new(permit, None));
            }
        }
        let hedge = hedge_timer(p.hedge_after());
        tokio::pin!(hedge);
        let mut hedged = false;
        loop {
            let ended = tokio::select! {
                ended = running.next() => ended,
                () = hedge.as_mut(), if !hedged => {
                    hedged = true;
                    let now = self.deps.timer.now();
                    if p.may_repeat() && p.attempts.try_hedge(now, p.sent, &p.options, &p.budget)
                        && let Ok(attempt) = self.start(&mut p)
                    {
                        running.push(attempt);
                    }
                    continue;
                }
            };
            let Some(ended) = ended else { break };
            let now = self.deps.timer.now();
            let outcome = ended.reply.outcome;
            p.log_attempt(now, &self.deps.interface, &ended.reply);
            if outcome == Outcome::Answered || !ended.reply.allows_retry(p.head.idempotent) {
                worst = Some(ended);
                break;
            }
            let next = p.next_after(now, &ended.reply);
            worst = Some(worse(worst, ended));
            match next {
                NextStep::Wait => {}
                NextStep::Return(_) => break,
                NextStep::Retry => match self.start(&mut p) {
                    Ok(attempt) => running.push(attempt),
                    Err(_) => break,
                },
            }
            hedge.set(hedge_timer(p.hedge_after()));
            hedged = false;
        }
        // The attempts that still run are dropped, which cancels them at their gates.
        drop(running);
        let Some(ended) = worst else {
            return (
                NO_ENDPOINT.reply_without_gate(),
                InFlight::new(permit, None),
            );
        };
        if ended.reply.outcome != Outcome::Answered {
            self.withhold(&p).await;
        }
        let in_flight = InFlight::new(permit, Some(ended.picked));
        let in_flight = in_flight.with_answer(ended.place, &self.deps.timer);
        (ended.reply, in_flight)
    }

    // Other nodes hear of a crash of the fingerprint before the caller can send it to them.
    async fn withhold(&self, p: &Pursuit) {
        let now = self.deps.timer.now();
        time::sleep(self.deps.crashes.withhold_time(now, p.head.fingerprint)).await;
    }

    fn hear_crash(
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

    // Picks an endpoint and returns the attempt. Fails when there is none or the quarantine
    // refuses the request.
    fn start<'a>(
        &'a self,
        p: &mut Pursuit,
    ) -> Result<impl Future<Output = Ended> + Send + use<'a>, Refusal> {
        let now = self.deps.timer.now();
        let place = self
            .deps
            .crashes
            .request_permit(now, p.head.fingerprint)
            .map_err(gate::quarantine_refusal)?;
        let tables = self.deps.view.tables();
        let table = tables.service(&p.head.service).ok_or(NO_ENDPOINT)?;
        let req = PickRequest {
            idempotent: p.head.idempotent,
            avoid: p.attempts.used_endpoints(),
            cross_region_bytes_per_s: p.service.cross_region_bytes_per_s,
        };
        let picked = table.pick(now, &mut rand::rng(), &req).ok_or(NO_ENDPOINT)?;
        let endpoint = picked.endpoint;
        if picked.tier == Tier::OtherRegion {
            let bytes = p.request_bytes();
            let limit = p.service.cross_region_bytes_per_s;
            table.cross_region_bytes().charge(now, bytes, limit);
        }
        let attempt = p.attempt(now, &picked, table)?;
        let id = endpoint.info.id.clone();
        let stats = Arc::clone(&endpoint.stats);
        let path = Arc::clone(&endpoint.path);
        let address = endpoint.info.peer_address;
        let counted = stats.start_request();
        let fingerprint = p.head.fingerprint;
        Ok(async move {
            let reply = self.send(attempt, address, path).await;
            let now = self.deps.timer.now();
            if let Some(load) = reply.load {
                stats.record_load(now, load);
            }
            self.hear_crash(now, &reply, fingerprint, id);
            // Every other outcome gives the place back at once, for the next attempt.
            let place = reply.clears_crashes().then_some(place);
            Ended {
                reply,
                picked: counted,
                place,
            }
        })
    }
}

impl Pursuit {
    // What follows an attempt that ended without an answer.
    fn next_after(&mut self, now: Millis, reply: &AttemptReply) -> NextStep {
        if reply.reached_backend {
            return self
                .attempts
                .on_attempt_end(now, reply.outcome, &self.options, &self.budget);
        }
        let by = self.refused_by(reply);
        self.attempts.on_refusal(now, by, &self.options)
    }

    // Notes that an attempt is sent to `picked` and returns it.
    fn attempt(
        &mut self,
        now: Millis,
        picked: &Picked<'_>,
        table: &ServiceTable,
    ) -> Result<Attempt, Refusal> {
        let endpoint = picked.endpoint;
        let body = self.body().ok_or(NO_ENDPOINT)?;
        let caution = self.attempts.caution(table.endpoints().len());
        let repeated = self.attempts.reached_count() > 0;
        self.attempts
            .record_start(endpoint.key, &self.options, &self.budget);
        self.sent = now;
        self.last = Some(Sent {
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
            body,
        })
    }

    // An attempt is hedged at half of the time left at the latest, so that a silent peer leaves
    // time for another endpoint.
    fn hedge_after(&mut self) -> Option<Duration> {
        let now = time::Instant::now();
        let left = self.head.deadline.saturating_duration_since(now);
        let after = self.options.hedge_after.unwrap_or(left).min(left / 2);
        // Whole milliseconds, as the policy counts them; a fraction would look not yet due.
        let after = Duration::from_millis(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self.options.hedge_after = Some(after);
        self.head.idempotent.then_some(after)
    }

    fn log_attempt(&self, now: Millis, interface: &HttpInterface, reply: &AttemptReply) {
        let left = self
            .head
            .deadline
            .saturating_duration_since(time::Instant::now());
        let sent = self.last.as_ref();
        tracing::info!(
            request = interface.request_id_of(&self.head.headers),
            attempt = self.attempts.sent_count(),
            server = sent.map(|s| s.endpoint.to_string()),
            tier = sent.map(|s| s.tier.as_str()),
            caution = sent.map(|s| s.caution.as_str()),
            load = sent.and_then(|s| s.load.map(attempt::format_load_header)),
            outcome = reply.outcome.as_str(),
            status = reply.response.status().as_u16(),
            reason = header_filter::single_value(reply.response.headers(), headers::REASON),
            took_ms = now.saturating_since(self.sent).as_millis() as u64,
            left_ms = left.as_millis() as u64,
            "entry: attempt ended"
        );
    }

    fn refused_by(&self, reply: &AttemptReply) -> RefusedBy {
        let reason = reply.response.headers().get(headers::REASON);
        if reason.is_some_and(|r| r.as_bytes() == gate::RETRY_BUDGET_REASON.as_bytes()) {
            return RefusedBy::RetryBudget;
        }
        match self.last {
            Some(Sent {
                tier: Tier::OtherRegion,
                ..
            }) => RefusedBy::OtherRegion,
            _ => RefusedBy::OwnRegion,
        }
    }

    fn may_repeat(&self) -> bool {
        matches!(self.payload, Some(Payload::Whole(..)))
    }

    // A streamed body can be sent once.
    fn body(&mut self) -> Option<Body> {
        match self.payload.take()? {
            Payload::Whole(bytes, reserved) => {
                let body = Body::full(bytes.clone());
                self.payload = Some(Payload::Whole(bytes, reserved));
                Some(body)
            }
            Payload::Stream(body) => Some(body),
        }
    }

    fn request_bytes(&self) -> u64 {
        let body = match &self.payload {
            Some(Payload::Whole(bytes, _)) => bytes.len() as u64,
            Some(Payload::Stream(body)) => http_body::Body::size_hint(body).lower(),
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

fn worse(a: Option<Ended>, b: Ended) -> Ended {
    let rank = |e: &Ended| match e.reply.outcome {
        Outcome::RefusedNotRun => 0,
        Outcome::RanAndFailed => 1,
        Outcome::Unknown => 2,
        Outcome::Answered => 3,
    };
    match a {
        Some(a) if rank(&a) > rank(&b) => a,
        _ => b,
    }
}

const NO_SERVICE: Refusal = Refusal::not_run(
    "no-service",
    "the service of the route is not configured; send the request again",
);
const NO_ENDPOINT: Refusal = Refusal::not_run(
    "no-endpoint",
    "no backend server can take the request now; send it again",
);
