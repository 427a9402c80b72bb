//! The probability that one backend server is in a spell of gray failure.

use std::time::Duration;

use shallothill_core::time::Millis;

use crate::gray::options::GrayOptions;

// A failure much faster than usual answers is the backend server's own. One that took the usual
// time may come from a service that it called, and says little about the server itself.
const FAST_PART: u32 = 8;

// How much more likely a slow failure is within a spell.
const SLOW_RATIO: f64 = 1.5;

// No evidence is taken for certain, so that a few answers can always turn the estimate.
const CERTAINTY: f64 = 0.995;

/// `Sign` is what one ended request tells about a spell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// The request was served.
    Served,
    /// The backend server failed the request, or broke off, after this time.
    Failed(Duration),
}

/// `Estimate` follows the probability that a backend server is in a spell: each answer weighs by how
/// much more likely it is in one state than in the other, and without answers the probability
/// returns to the expected share.
#[derive(Clone, Debug)]
pub struct Estimate {
    options: GrayOptions,
    probability: f64,
    at: Millis,
    next_trial: Millis,
}

impl Estimate {
    /// `new` starts with the expected share.
    pub fn new(options: GrayOptions) -> Self {
        Self {
            probability: options.share,
            options,
            at: Millis(0),
            next_trial: Millis(0),
        }
    }

    /// `set_options` takes over a changed configuration.
    pub fn set_options(&mut self, options: GrayOptions) {
        self.options = options;
    }

    /// `probability` returns the probability of a spell at `now`.
    pub fn probability(&self, now: Millis) -> f64 {
        let rest = self.options.relaxation().as_secs_f64().max(0.001);
        let age = now.saturating_since(self.at).as_secs_f64();
        let share = self.options.share;
        share + (self.probability - share) * (-age / rest).exp()
    }

    /// `observe` takes the end of a request; `usual` is the usual time of an answer.
    pub fn observe(&mut self, now: Millis, sign: Sign, usual: Duration) {
        if self.options.share <= 0.0 {
            return;
        }
        let fails = self.options.fails;
        let usually = self.options.fails_usually;
        let fast = self.options.fails_fast_usually;
        let (ratio, next_trial) = match sign {
            Sign::Served => ((1.0 - fails) / (1.0 - usually), now),
            Sign::Failed(after) if after * FAST_PART < usual => {
                (fails / fast, now + self.options.trial_every)
            }
            Sign::Failed(_) => (SLOW_RATIO, self.next_trial),
        };
        let before = self.probability(now);
        let odds = before / (1.0 - before) * ratio;
        self.probability = (odds / (1.0 + odds)).clamp(1.0 - CERTAINTY, CERTAINTY);
        self.at = now;
        self.next_trial = next_trial;
    }

    /// `admits` decides whether a request may be sent to the backend server; admitting one that may
    /// be repeated counts as a trial while a spell is likely.
    pub fn admits(&mut self, now: Millis, idempotent: bool) -> bool {
        let probability = self.probability(now);
        if !idempotent {
            return probability <= self.options.refuse_above;
        }
        if probability <= self.options.try_above {
            return true;
        }
        let due = now >= self.next_trial;
        if due {
            self.next_trial = now + self.options.trial_every;
        }
        due
    }

    /// `is_suspect` tells whether requests that run at most once are refused.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.probability(now) > self.options.refuse_above
    }
}
