//! Picks endpoints for a request and runs its attempts, retries and hedges.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use shallothill_core::hash::Fingerprint;
use shallothill_core::ids::EndpointId;
use shallothill_core::outcome::Outcome;
use shallothill_core::time::Millis;
use shallothill_policy::limits::Permit;
use shallothill_policy::pick::{PickRequest, Tier};
use shallothill_policy::retry;
use shallothill_policy::retry::{NextStep, RetryOptions};
use shallothill_wire::crash::CrashNotice;
use tokio::time;

use crate::attempt::AttemptReply;
use crate::entry::backpressure::CallInProgress;
use crate::entry::credit::CreditToken;
use crate::entry::ended_attempt;
use crate::entry::ended_attempt::{EndedAttempt, StartedAttempt};
use crate::entry::prepare::Prepared;
use crate::entry::run_state::{NO_BACKEND, RunState};
use crate::entry::stop;
use crate::entry::{Entry, InFlight};
use crate::gate;
use crate::refusal::Refusal;

impl Entry {
    /// `run` sends attempts until the request is answered or no further attempt is allowed.
    pub(crate) async fn run(&self, prepared: Prepared) -> (AttemptReply, InFlight) {
        let Prepared {
            head,
            payload,
            permit,
            checked_key,
            credit,
            parent,
        } = prepared;
        let started = credit.map(CreditToken::start);
        let Some(service) = self.deps.store.load().service(&head.service).cloned() else {
            started.into_iter().for_each(|s| s.end(NO_SERVICE.outcome));
            return (NO_SERVICE.reply_without_gate(), InFlight::new(permit, None));
        };
        let now = self.deps.timer.now();
        let left = head
            .deadline
            .saturating_duration_since(time::Instant::now());
        let mut options = RetryOptions::from_service(&service);
        options.max_attempts = head.max_attempts.unwrap_or(options.max_attempts);
        let attempts = if head.call.is_some() {
            options.usual_latency = self.usual_latency(&head.route);
            retry::Attempts::for_call(head.idempotent, now + left)
        } else {
            retry::Attempts::new(head.idempotent, now + left)
        };
        let r = RunState {
            attempts,
            budget: self.retry_budget(&head.service),
            head,
            payload: Some(payload),
            checked_key,
            service,
            options,
            sent_at: now,
            last_attempt: None,
            parent,
            paused: Duration::ZERO,
        };
        let call = r.parent.clone().map(CallInProgress::new);
        let (reply, in_flight) = self.run_all(r, permit).await;
        started.into_iter().for_each(|s| s.end(reply.outcome));
        if let Some(call) = call {
            call.end(reply.outcome);
        }
        (reply, in_flight)
    }

    // Runs the first attempt, retries and hedges. Without an answer it returns the reply of the
    // most severe outcome.
    async fn run_all(&self, mut r: RunState, permit: Option<Permit>) -> (AttemptReply, InFlight) {
        let mut running = FuturesUnordered::new();
        let mut worst: Option<EndedAttempt> = None;
        match self.start_next(&mut r, NextStep::Retry).await {
            Ok(attempt) => running.push(self.finish_attempt(attempt)),
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
                        running.push(self.finish_attempt(attempt));
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
            self.record_end(now, &r, &ended.reply);
            if outcome == Outcome::Answered || !ended.reply.allows_retry(r.head.idempotent) {
                worst = Some(ended);
                break;
            }
            let next = r.next_step(now, &ended.reply);
            worst = Some(ended_attempt::more_severe(worst, ended));
            if next != NextStep::Wait {
                match self.start_next(&mut r, next).await {
                    Ok(attempt) => running.push(self.finish_attempt(attempt)),
                    Err(_) => break,
                }
            }
            hedge.set(hedge_timer(r.hedge_delay()));
            hedged = false;
        }
        // Dropping the remaining attempts cancels them at their gates.
        drop(running);
        self.conclude(&r, worst, permit).await
    }

    async fn conclude(
        &self,
        r: &RunState,
        worst: Option<EndedAttempt>,
        permit: Option<Permit>,
    ) -> (AttemptReply, InFlight) {
        let Some(ended) = worst else {
            return (NO_BACKEND.reply_without_gate(), InFlight::new(permit, None));
        };
        if ended.reply.outcome != Outcome::Answered {
            self.delay_failure(r).await;
        }
        let guard = InFlight::new(permit, Some(ended.in_flight));
        let guard = guard.with_answer(ended.quarantine_permit, &self.deps.timer);
        (ended.reply, guard)
    }

    // Records what an ended attempt shows of the calls of its route.
    fn record_end(&self, now: Millis, r: &RunState, reply: &AttemptReply) {
        if r.head.call.is_some() && reply.outcome == Outcome::Answered {
            self.record_latency(&r.head.route, now.saturating_since(r.sent_at));
        }
        if reply.call_shortage() {
            self.deps.counters.count_call_shortage();
            self.backpressure.record_shortage(now, &r.head.route);
        }
    }

    // Starts the attempt that follows `next`, for a call after a pause. Fails if none follows, and
    // when the node is about to end.
    async fn start_next(
        &self,
        r: &mut RunState,
        mut next: NextStep,
    ) -> Result<StartedAttempt, Refusal> {
        loop {
            let retried = tokio::select! {
                biased;
                retried = self.wait_to_retry(r, next) => retried,
                () = self.final_answer_due() => false,
            };
            if !retried {
                return Err(self.check_time_left().err().unwrap_or(NO_BACKEND));
            }
            match self.start_attempt(r) {
                Ok(attempt) => return Ok(attempt),
                Err(refusal) => {
                    next = self.after_failed_pick(r, &refusal);
                    if matches!(next, NextStep::Return(_)) {
                        return Err(refusal);
                    }
                }
            }
        }
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

    // Picks an endpoint and builds the attempt. Fails when no endpoint can be picked or the quarantine
    // refuses the request.
    fn start_attempt(&self, r: &mut RunState) -> Result<StartedAttempt, Refusal> {
        self.check_time_left()?;
        self.check_key(r.checked_key.as_ref())?;
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
        Ok(StartedAttempt {
            attempt: r.new_attempt(now, &picked, table, &self.reply_by)?,
            address: endpoint.info.peer_address,
            path: Arc::clone(&endpoint.path),
            stats: Arc::clone(&endpoint.stats),
            in_flight: endpoint.stats.start_request(),
            quarantine_permit,
        })
    }

    // Sends an attempt and waits for its end.
    async fn finish_attempt(&self, started: StartedAttempt) -> EndedAttempt {
        let fingerprint = started.attempt.head.fingerprint;
        let id = started.attempt.endpoint.clone();
        let sent = self.send(started.attempt, started.address, started.path);
        let reply = sent.await;
        let now = self.deps.timer.now();
        if let Some(load) = reply.load {
            started.stats.record_load(now, load);
        }
        self.record_crash(now, &reply, fingerprint, id);
        // Any other outcome releases the quarantine permit at once, for the next attempt.
        let quarantine_permit = reply.clears_crashes().then_some(started.quarantine_permit);
        EndedAttempt {
            reply,
            in_flight: started.in_flight,
            quarantine_permit,
        }
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
