//! The probability that one backend server is in a spell of gray failure.

use std::time::Duration;

use shallothill_core::time::Millis;

use crate::gray::caution::Caution;
use crate::gray::options::GrayOptions;

// A failure much faster than usual answers is the backend server's own. One that took the usual
// time may come from a service that it called, and says nothing about the server itself.
const FAST_PART: u32 = 8;

// No evidence is taken for certain, so that a few answers can always turn the estimate.
const CERTAINTY: f64 = 0.995;

/// `Sign` is what one ended request tells about a spell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The request was served after this time.
    Served(Duration),
    /// The backend server failed the request, or broke off, after this time.
    Failed(Duration),
}

/// `Estimate` follows the probability that a backend server is in a spell: each answer weighs by how
/// much more likely it is in one state than in the other, and without answers the probability
/// returns to the expected share.
#[derive(Clone, Debug)]
pub struct EpisodeEstimator {
    options: GrayOptions,
    probability: f64,
    at: Millis,
    next_trial: Millis,
    trials: u8,
}

impl EpisodeEstimator {
    /// `new` starts with the expected share.
    pub fn new(options: GrayOptions) -> Self {
        Self {
            probability: options.episode_share,
            options,
            at: Millis(0),
            next_trial: Millis(0),
            trials: 1,
        }
    }

    /// `set_options` takes over a changed configuration.
    pub fn set_options(&mut self, options: GrayOptions) {
        self.options = options;
    }

    /// `is_on` tells whether spells are expected, so that errors are judged here.
    pub fn is_enabled(&self) -> bool {
        self.options.episode_share > 0.0
    }

    /// `probability` returns the probability of a spell at `now`.
    pub fn probability(&self, now: Millis) -> f64 {
        let rest = self.options.relaxation().as_secs_f64().max(0.001);
        let age = now.saturating_since(self.at).as_secs_f64();
        let share = self.options.episode_share;
        share + (self.probability - share) * (-age / rest).exp()
    }

    /// `observe` takes the end of a request; `usual` is the usual time of an answer.
    pub fn observe(&mut self, now: Millis, sign: Observation, usual: Duration) {
        if !self.is_enabled() {
            return;
        }
        let fails = self.options.episode_failure_rate;
        let usually = self.options.normal_failure_rate;
        let fast = self.options.normal_fast_failure_rate;
        let (ratio, next_trial, trials) = match sign {
            // Requests that cost next to nothing say little about those that cost work.
            Observation::Served(after) if after * FAST_PART < usual => return,
            Observation::Served(_) => (
                (1.0 - fails) / (1.0 - usually),
                now,
                self.options.max_trials,
            ),
            Observation::Failed(after) if after * FAST_PART < usual => {
                (fails / fast, now + self.options.trial_interval, 1)
            }
            Observation::Failed(_) => return,
        };
        let before = self.probability(now);
        let odds = before / (1.0 - before) * ratio;
        self.probability = (odds / (1.0 + odds)).clamp(1.0 - CERTAINTY, CERTAINTY);
        self.at = now;
        self.next_trial = next_trial;
        self.trials = trials;
    }

    /// `admits` decides whether a request may be sent to the backend server; admitting one that may
    /// be tried counts as a trial while a spell is likely.
    pub fn admits(&mut self, now: Millis, caution: Caution) -> bool {
        let probability = self.probability(now);
        match caution {
            Caution::Insist => return true,
            Caution::Trust => return probability <= self.options.trust_below,
            Caution::Settle => return probability <= self.options.refuse_above,
            Caution::Try => {}
        }
        if probability <= self.options.trial_above {
            return true;
        }
        let due = now >= self.next_trial;
        if due {
            self.trials = self.trials.saturating_sub(1);
            if self.trials == 0 {
                self.trials = 1;
                self.next_trial = now + self.options.trial_interval;
            }
        }
        due
    }

    /// `wants_trial` tells whether a request that may be tried would be admitted.
    pub fn wants_trial(&self, now: Millis) -> bool {
        now >= self.next_trial || self.probability(now) <= self.options.trial_above
    }

    /// `is_suspect` tells whether requests that run at most once are refused.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.probability(now) > self.options.refuse_above
    }
}
