//! Estimates the probability that one backend server is in an episode of gray failure.

use std::time::Duration;

use shallothill_core::time::Millis;

use crate::gray::caution::Caution;
use crate::gray::options::GrayOptions;

// A failure faster than this part of the usual latency is the backend server's own. One that takes
// the usual time may come from a service that it called, and says nothing about the server itself.
const FAST_FAILURE_DIVISOR: u32 = 8;

// Upper bound of the probability; one minus it is the lower bound. It keeps the estimate away from
// certainty, so that a few responses can always reverse it.
const MAX_PROBABILITY: f64 = 0.995;

/// `Observation` is how one request ended, as input to the estimate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The request was answered successfully after this time.
    Served(Duration),
    /// The backend server failed the request or broke the connection after this time.
    Failed(Duration),
}

/// `EpisodeEstimator` tracks the probability that a backend server is in an episode of gray
/// failure. Each response updates it by Bayes' rule with the likelihood ratio of the two states;
/// without responses it relaxes to the expected share of time.
#[derive(Clone, Debug)]
pub struct EpisodeEstimator {
    options: GrayOptions,
    probability: f64,
    updated_at: Millis,
    next_trial: Millis,
    trials_left: u8,
}

impl EpisodeEstimator {
    /// `new` starts at the expected share of time.
    pub fn new(options: GrayOptions) -> Self {
        Self {
            probability: options.episode_share,
            options,
            updated_at: Millis(0),
            next_trial: Millis(0),
            trials_left: 1,
        }
    }

    /// `set_options` applies a changed configuration; the current probability is kept.
    pub fn set_options(&mut self, options: GrayOptions) {
        self.options = options;
    }

    /// `is_enabled` returns whether episodes are expected at all. Errors are then judged here
    /// rather than by the failure detector.
    pub fn is_enabled(&self) -> bool {
        self.options.episode_share > 0.0
    }

    /// `probability` returns the probability of an episode at `now`.
    pub fn probability(&self, now: Millis) -> f64 {
        let time_constant_s = self.options.relaxation_time().as_secs_f64().max(0.001);
        let age = now.saturating_since(self.updated_at).as_secs_f64();
        let share = self.options.episode_share;
        share + (self.probability - share) * (-age / time_constant_s).exp()
    }

    /// `observe` updates the estimate with the end of a request; `usual_latency` is the mean
    /// latency at the gate.
    pub fn observe(&mut self, now: Millis, observation: Observation, usual_latency: Duration) {
        if !self.is_enabled() {
            return;
        }
        let episode_rate = self.options.episode_failure_rate;
        let normal_rate = self.options.normal_failure_rate;
        let normal_fast_rate = self.options.normal_fast_failure_rate;
        let (likelihood_ratio, next_trial, trials) = match observation {
            // Requests that cost almost no work say little about those that do.
            Observation::Served(after) if after * FAST_FAILURE_DIVISOR < usual_latency => return,
            Observation::Served(_) => (
                (1.0 - episode_rate) / (1.0 - normal_rate),
                now,
                self.options.max_trials,
            ),
            Observation::Failed(after) if after * FAST_FAILURE_DIVISOR < usual_latency => (
                episode_rate / normal_fast_rate,
                now + self.options.trial_interval,
                1,
            ),
            Observation::Failed(_) => return,
        };
        let prior = self.probability(now);
        let odds = prior / (1.0 - prior) * likelihood_ratio;
        self.probability = (odds / (1.0 + odds)).clamp(1.0 - MAX_PROBABILITY, MAX_PROBABILITY);
        self.updated_at = now;
        self.next_trial = next_trial;
        self.trials_left = trials;
    }

    /// `admits` decides whether a request may be sent to the backend server. While an episode is
    /// likely, admitting a request with `Caution::Try` uses up a trial.
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
            self.trials_left = self.trials_left.saturating_sub(1);
            if self.trials_left == 0 {
                self.trials_left = 1;
                self.next_trial = now + self.options.trial_interval;
            }
        }
        due
    }

    /// `wants_trial` returns whether a request with `Caution::Try` would be admitted.
    pub fn wants_trial(&self, now: Millis) -> bool {
        now >= self.next_trial || self.probability(now) <= self.options.trial_above
    }

    /// `lacks_evidence` returns whether a trial should be sent to an idle backend server: too little
    /// has run there lately for it to be trusted, so requests that must run at most once are
    /// refused, although it is not suspected.
    pub fn lacks_evidence(&self, now: Millis) -> bool {
        let probability = self.probability(now);
        probability > self.options.trust_below
            && probability <= self.options.refuse_above
            && now >= self.next_trial
    }

    /// `is_unproven` returns whether requests that must run at most once are refused at first,
    /// because too little has been served lately.
    pub fn is_unproven(&self, now: Millis) -> bool {
        self.is_enabled() && self.probability(now) > self.options.trust_below
    }

    /// `suspected_for` returns for how long requests that must run at most once will be refused if
    /// nothing more is observed; zero while they are not.
    pub fn suspected_for(&self, now: Millis) -> Duration {
        let share = self.options.episode_share;
        let excess = self.probability(now) - share;
        let limit = self.options.refuse_above - share;
        if !self.is_suspect(now) {
            return Duration::ZERO;
        }
        let time_constant = self.options.relaxation_time();
        if limit <= 0.0 {
            // Without evidence the probability stays above the limit.
            return time_constant;
        }
        time_constant.mul_f64((excess / limit).ln().max(0.0))
    }

    /// `is_suspect` returns whether requests that must run at most once are refused.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.probability(now) > self.options.refuse_above
    }
}
