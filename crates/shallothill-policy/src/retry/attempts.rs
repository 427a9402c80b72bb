//! The attempts of one request.

use std::time::Duration;

use shallothill_core::outcome::Outcome;
use shallothill_core::time::Millis;

use crate::gray::Caution;
use crate::pick::EndpointKey;
use crate::retry::budget::RetryBudget;
use crate::retry::options::RetryOptions;

const MAX_ATTEMPTS: usize = 12;

// Limit of refusals by gates. A refusal costs a message between nodes, but no work of a backend
// server; more of them in a row mean that the service is full.
const MAX_REFUSALS: u8 = 6;

// Refusals from other regions at which a request is given up. Each costs a tenth of what a response
// is worth, and indicates that the service has little capacity left anywhere.
const OTHER_REGION_REFUSAL_LIMIT: u8 = 4;

// Refusals for lack of retry budget at which a request is given up. The gates of a service have
// equal shares of its retries, so three without any left are representative.
const BUDGET_REFUSAL_LIMIT: u8 = 3;

/// `RefusedBy` tells where the gate is that refused an attempt, or that its retry budget refused
/// it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedBy {
    /// A gate of the entry node's region.
    OwnRegion,
    /// A gate of another region.
    OtherRegion,
    /// A gate whose share of the service's retries is used up.
    RetryBudget,
    /// A gate that got no majority of the keepers for the claim on the request's key, `after` this
    /// time. Other gates ask the same keepers.
    Ledger {
        /// The time from the start of the attempt to its refusal.
        after: Duration,
    },
}

/// `CALL_REFUSALS_AT_ONCE` is the number of gates that a call of a running request asks without a
/// pause. When these are full, the next gates probably are as well.
const CALL_REFUSALS_AT_ONCE: u8 = 3;

/// `FIRST_CALL_PAUSE` is the first pause of a call that gates have refused, a tenth of what a call
/// usually takes. It doubles up to `MAX_CALL_PAUSE`.
const FIRST_CALL_PAUSE: Duration = Duration::from_millis(15);

/// `MAX_CALL_PAUSE` is the longest pause between two attempts of a call.
const MAX_CALL_PAUSE: Duration = Duration::from_millis(120);

/// `MAX_CALL_ATTEMPTS` bounds the messages for one call. With the longest pause they last for 4 s,
/// twice the usual timeout of a call.
const MAX_CALL_ATTEMPTS: u8 = 40;

/// `NextStep` is what to do after an attempt has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send the request again, avoiding [`Attempts::used_endpoints`].
    Retry,
    /// Send the request again after about this pause, which the owner spreads by jitter, and after
    /// [`Attempts::forget_refusals`].
    RetryAfter(Duration),
    /// Wait for the other attempt that is still running.
    Wait,
    /// Return this outcome to the caller.
    Return(Outcome),
}

/// `Attempts` tracks the attempts of one request and decides on retries and hedges.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline: Millis,
    sent: u8,
    refused: u8,
    refused_by_other_region: u8,
    refused_by_budget: u8,
    running: u8,
    used: [EndpointKey; MAX_ATTEMPTS],
    outcome: Outcome,
    response_started: bool,
    /// Whether a backend server makes the request while it runs another one.
    call: bool,
    /// Which of the last `MAX_ATTEMPTS` attempts gates refused, one bit for each slot of `used`.
    refused_slots: u16,
}

impl Attempts {
    /// `new` tracks a request that is due at `deadline`.
    pub fn new(idempotent: bool, deadline: Millis) -> Self {
        Self {
            idempotent,
            deadline,
            sent: 0,
            refused: 0,
            refused_by_other_region: 0,
            refused_by_budget: 0,
            running: 0,
            used: [EndpointKey::default(); MAX_ATTEMPTS],
            outcome: Outcome::RefusedNotRun,
            response_started: false,
            call: false,
            refused_slots: 0,
        }
    }

    /// `for_call` tracks a request that a backend server makes while it runs another one. The work
    /// spent on that one is lost if the call is refused. Gates that refuse the call therefore do not
    /// end it; it is sent again after pauses, as long as it can be answered before `deadline`.
    pub fn for_call(idempotent: bool, deadline: Millis) -> Self {
        Self {
            call: true,
            ..Self::new(idempotent, deadline)
        }
    }

    /// `is_call` tells whether a backend server makes the request while it runs another one.
    pub fn is_call(&self) -> bool {
        self.call
    }

    /// `record_start` records that an attempt is sent; the first one of a request makes a deposit
    /// into the service's retry budget.
    pub fn record_start(
        &mut self,
        endpoint: EndpointKey,
        options: &RetryOptions,
        budget: &RetryBudget,
    ) {
        if self.sent == 0 {
            budget.deposit(options.budget_percent);
        }
        let slot = usize::from(self.sent) % MAX_ATTEMPTS;
        self.used[slot] = endpoint;
        self.refused_slots &= !(1 << slot);
        self.sent = self.sent.saturating_add(1);
        self.running += 1;
    }

    /// `record_response_start` records that the first byte of a response was sent to the caller.
    /// Nothing is sent again after that.
    pub fn record_response_start(&mut self) {
        self.response_started = true;
    }

    /// `on_attempt_end` decides what follows an attempt that ended at `now` with `outcome`. A retry
    /// is taken from the budget.
    pub fn on_attempt_end(
        &mut self,
        now: Millis,
        outcome: Outcome,
        options: &RetryOptions,
        budget: &RetryBudget,
    ) -> NextStep {
        self.running = self.running.saturating_sub(1);
        self.outcome = more_informative(self.outcome, outcome);
        if outcome == Outcome::Answered || self.response_started {
            return NextStep::Return(outcome);
        }
        if self.running > 0 {
            return NextStep::Wait;
        }
        let allowed = outcome.allows_retry(self.idempotent) && self.may_send(now, options);
        if allowed && withdraw(options, budget) {
            return NextStep::Retry;
        }
        NextStep::Return(self.outcome)
    }

    /// `on_refusal` decides what follows an attempt that reached no backend server. A retry after a
    /// refusal is not taken from the budget, which limits the load on backend servers.
    pub fn on_refusal(&mut self, now: Millis, by: RefusedBy, options: &RetryOptions) -> NextStep {
        self.running = self.running.saturating_sub(1);
        self.refused = self.refused.saturating_add(1);
        self.refused_by_other_region += u8::from(by == RefusedBy::OtherRegion);
        self.refused_by_budget += u8::from(by == RefusedBy::RetryBudget);
        if self.response_started {
            return NextStep::Return(Outcome::RefusedNotRun);
        }
        if self.running > 0 {
            return NextStep::Wait;
        }
        if self.call {
            self.mark_last_refused();
            let pause = self.call_pause(now, options);
            return match pause.filter(|_| self.leaves_time(now, by)) {
                Some(Duration::ZERO) => NextStep::Retry,
                Some(pause) => NextStep::RetryAfter(pause),
                None => NextStep::Return(self.outcome),
            };
        }
        // An attempt that may have run is repeated only if the request is idempotent.
        let allowed = self.outcome.allows_retry(self.idempotent);
        let below_limits = self.refused <= MAX_REFUSALS
            && self.leaves_time(now, by)
            && self.refused_by_other_region < OTHER_REGION_REFUSAL_LIMIT
            && self.refused_by_budget < BUDGET_REFUSAL_LIMIT;
        if allowed && below_limits && self.may_send(now, options) {
            return NextStep::Retry;
        }
        NextStep::Return(self.outcome)
    }

    /// `call_pause` returns the pause before the next attempt of a call that gates refuse or that
    /// finds no endpoint. It returns `None` for other requests, and once the call can't be answered
    /// before its deadline.
    pub fn call_pause(&self, now: Millis, options: &RetryOptions) -> Option<Duration> {
        let pause = match self.refused.checked_sub(CALL_REFUSALS_AT_ONCE) {
            Some(waited) => (FIRST_CALL_PAUSE * (1 << waited.min(8))).min(MAX_CALL_PAUSE),
            None => Duration::ZERO,
        };
        let allowed = self.call
            && self.outcome.allows_retry(self.idempotent)
            && now + pause + options.usual_latency < self.deadline;
        (allowed && self.may_send(now, options)).then_some(pause)
    }

    /// `forget_refusals` allows the endpoints whose gates refused an attempt to be picked again.
    pub fn forget_refusals(&mut self) {
        for (slot, used) in self.used.iter_mut().enumerate() {
            if self.refused_slots & (1 << slot) != 0 {
                *used = EndpointKey::default();
            }
        }
        self.refused_slots = 0;
    }

    fn mark_last_refused(&mut self) {
        if let Some(last) = self.sent.checked_sub(1) {
            self.refused_slots |= 1 << (usize::from(last) % MAX_ATTEMPTS);
        }
    }

    /// `try_hedge` decides at `now` whether a second attempt runs beside the one that was sent at
    /// `sent`; if so, it is taken from the budget.
    pub fn try_hedge(
        &self,
        now: Millis,
        sent: Millis,
        options: &RetryOptions,
        budget: &RetryBudget,
    ) -> bool {
        let due = options
            .hedge_after
            .is_some_and(|after| now.saturating_since(sent) >= after);
        let allowed = due && self.idempotent && !self.response_started && self.running == 1;
        allowed && self.may_send(now, options) && withdraw(options, budget)
    }

    /// `reconsider` allows another attempt at an endpoint that an attempt did not reach.
    pub fn reconsider(&mut self, endpoint: EndpointKey) {
        for used in self.used.iter_mut().filter(|used| **used == endpoint) {
            *used = EndpointKey::default();
        }
    }

    /// `used_endpoints` returns the endpoints of earlier attempts, for `pick::PickRequest::avoid`.
    pub fn used_endpoints(&self) -> &[EndpointKey] {
        &self.used[..usize::from(self.sent).min(MAX_ATTEMPTS)]
    }

    /// `caution` returns the risk that the next attempt may take at a suspected backend server,
    /// where the service has `choices` endpoints. After many refusals a repeatable request is run
    /// in any case.
    pub fn caution(&self, choices: usize) -> Caution {
        let failed = self.reached_count() > 0;
        Caution::for_request(self.idempotent, failed, self.refused, choices)
    }

    /// `sent_count` returns the number of attempts sent so far.
    pub fn sent_count(&self) -> u8 {
        self.sent
    }

    /// `reached_count` returns the number of attempts that reached a backend server, or still may.
    pub fn reached_count(&self) -> u8 {
        self.sent.saturating_sub(self.refused)
    }

    // Tells whether a refusal like `by` would again come before the deadline. The request has not
    // run; after an attempt that ends too late nobody could say so.
    fn leaves_time(&self, now: Millis, by: RefusedBy) -> bool {
        match by {
            RefusedBy::Ledger { after } => now + after < self.deadline,
            RefusedBy::OwnRegion | RefusedBy::OtherRegion | RefusedBy::RetryBudget => true,
        }
    }

    fn may_send(&self, now: Millis, options: &RetryOptions) -> bool {
        let max_sent = if self.call {
            MAX_CALL_ATTEMPTS
        } else {
            MAX_ATTEMPTS as u8
        };
        let room = self.sent < max_sent;
        room && self.reached_count() < options.max_attempts && now < self.deadline
    }
}

fn withdraw(options: &RetryOptions, budget: &RetryBudget) -> bool {
    options.bounded_by_gates || budget.withdraw()
}

// The caller gets the outcome that says most about whether its request ran.
fn more_informative(a: Outcome, b: Outcome) -> Outcome {
    let rank = |o: Outcome| match o {
        Outcome::RefusedNotRun => 0,
        Outcome::RanAndFailed => 1,
        Outcome::Unknown => 2,
        Outcome::Answered => 3,
    };
    if rank(b) > rank(a) { b } else { a }
}
