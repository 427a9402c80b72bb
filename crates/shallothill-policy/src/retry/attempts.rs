//! The attempts of one request.

use shallothill_core::outcome::Outcome;
use shallothill_core::time::Millis;

use crate::gray::Caution;
use crate::pick::EndpointKey;
use crate::retry::budget::RetryBudget;
use crate::retry::options::RetryOptions;

const MOST_ATTEMPTS: usize = 12;

// Refusals by gates cost a message between nodes and no backend server's time; more of them in a
// row mean that the service is full.
const MOST_REFUSALS: u8 = 6;

// A refusal from another region costs a tenth of what an answer is worth, and says that the service
// has little room anywhere.
const MOST_FAR_REFUSALS: u8 = 4;

// The gates of a service have equal parts in its retries, so that three without any left say enough.
const MOST_BUDGET_REFUSALS: u8 = 3;

/// `RefusedBy` tells what kind of gate refused an attempt, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedBy {
    /// A gate of the own region.
    OwnRegion,
    /// A gate of another region.
    OtherRegion,
    /// A gate whose part in the retries of the service is used up.
    RetryBudget,
}

/// `Next` tells what follows an ended attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send the request again, avoiding [`Attempts::used`].
    Retry,
    /// Wait for the other attempt that still runs.
    Wait,
    /// Give the caller this result.
    Return(Outcome),
}

/// `Attempts` follows one request through its attempts and decides on retries and hedges.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline: Millis,
    made: u8,
    refused: u8,
    refused_far: u8,
    refused_for_budget: u8,
    running: u8,
    used: [EndpointKey; MOST_ATTEMPTS],
    worst: Outcome,
    responding: bool,
}

impl Attempts {
    /// `new` follows a request that arrived with `deadline`.
    pub fn new(idempotent: bool, deadline: Millis) -> Self {
        Self {
            idempotent,
            deadline,
            made: 0,
            refused: 0,
            refused_far: 0,
            refused_for_budget: 0,
            running: 0,
            used: [EndpointKey::default(); MOST_ATTEMPTS],
            worst: Outcome::RefusedNotRun,
            responding: false,
        }
    }

    /// `started` notes an attempt; the first one deposits into the service's budget.
    pub fn record_start(
        &mut self,
        endpoint: EndpointKey,
        options: &RetryOptions,
        budget: &RetryBudget,
    ) {
        if self.made == 0 {
            budget.deposit(options.budget_percent);
        }
        if let Some(slot) = self.used.get_mut(usize::from(self.made)) {
            *slot = endpoint;
        }
        self.made = self.made.saturating_add(1);
        self.running += 1;
    }

    /// `responding` notes that the first byte of an answer was sent to the caller; from then on
    /// nothing is sent again.
    pub fn record_response_start(&mut self) {
        self.responding = true;
    }

    /// `ended` decides what follows an attempt that ended at `now` with `outcome`.
    pub fn on_attempt_end(
        &mut self,
        now: Millis,
        outcome: Outcome,
        options: &RetryOptions,
        budget: &RetryBudget,
    ) -> NextStep {
        self.running = self.running.saturating_sub(1);
        self.worst = worse(self.worst, outcome);
        if outcome == Outcome::Answered || self.responding {
            return NextStep::Return(outcome);
        }
        if self.running > 0 {
            return NextStep::Wait;
        }
        let allowed = outcome.allows_retry(self.idempotent) && self.may_add(now, options);
        if allowed && withdraw(options, budget) {
            return NextStep::Retry;
        }
        NextStep::Return(self.worst)
    }

    /// `refused` decides what follows an attempt that reached no backend server. Another one costs
    /// nothing of the budget, which bounds the load on backend servers.
    pub fn on_refusal(&mut self, now: Millis, by: RefusedBy, options: &RetryOptions) -> NextStep {
        self.running = self.running.saturating_sub(1);
        self.refused = self.refused.saturating_add(1);
        self.refused_far += u8::from(by == RefusedBy::OtherRegion);
        self.refused_for_budget += u8::from(by == RefusedBy::RetryBudget);
        if self.responding {
            return NextStep::Return(Outcome::RefusedNotRun);
        }
        if self.running > 0 {
            return NextStep::Wait;
        }
        // An attempt that may have run is repeated only where that does no harm.
        let allowed = self.worst.allows_retry(self.idempotent);
        let few = self.refused <= MOST_REFUSALS
            && self.refused_far < MOST_FAR_REFUSALS
            && self.refused_for_budget < MOST_BUDGET_REFUSALS;
        if allowed && few && self.may_add(now, options) {
            return NextStep::Retry;
        }
        NextStep::Return(self.worst)
    }

    /// `hedge` decides at `now` whether a second attempt runs beside one that was sent at `sent`;
    /// a true result has taken it from the budget.
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
        let allowed = due && self.idempotent && !self.responding && self.running == 1;
        allowed && self.may_add(now, options) && withdraw(options, budget)
    }

    /// `used` returns the endpoints of earlier attempts, for `pick::PickRequest::avoid`.
    pub fn used_endpoints(&self) -> &[EndpointKey] {
        &self.used[..usize::from(self.made).min(MOST_ATTEMPTS)]
    }

    /// `caution` returns what the next gate may do with the request when its backend server is
    /// suspected, where the service has `choices` of them. After many refusals a repeatable request
    /// is to be run anyway.
    pub fn caution(&self, choices: usize) -> Caution {
        let failed = self.reached_count() > 0;
        Caution::for_request(self.idempotent, failed, self.refused, choices)
    }

    /// `made` returns the number of attempts so far.
    pub fn sent_count(&self) -> u8 {
        self.made
    }

    /// `reached` returns the number of attempts that reached a backend server, or still may.
    pub fn reached_count(&self) -> u8 {
        self.made.saturating_sub(self.refused)
    }

    fn may_add(&self, now: Millis, options: &RetryOptions) -> bool {
        let room = usize::from(self.made) < MOST_ATTEMPTS;
        room && self.reached_count() < options.max_attempts && now < self.deadline
    }
}

fn withdraw(options: &RetryOptions, budget: &RetryBudget) -> bool {
    options.bounded_by_gates || budget.withdraw()
}

// The caller learns the outcome that says most about whether its request ran.
fn worse(a: Outcome, b: Outcome) -> Outcome {
    let rank = |o: Outcome| match o {
        Outcome::RefusedNotRun => 0,
        Outcome::RanAndFailed => 1,
        Outcome::Unknown => 2,
        Outcome::Answered => 3,
    };
    if rank(b) > rank(a) { b } else { a }
}
