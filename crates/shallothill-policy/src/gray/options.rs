//! Parameters of the model of gray failure.

use std::time::Duration;

use shallothill_core::config::Service;

/// `GrayOptions` holds the expected share and length of episodes and the probability thresholds.
///
/// The model suits a load of a few requests per second for each backend server, where an episode of
/// some seconds is over before an error rate can be measured.
#[derive(Clone, Debug, PartialEq)]
pub struct GrayOptions {
    /// The share of time that a backend server spends in episodes; 0 disables the estimate.
    pub episode_share: f64,
    /// The mean length of an episode.
    pub mean_episode: Duration,
    /// The share of requests that fail during an episode.
    pub episode_failure_rate: f64,
    /// The share of requests that fail outside of episodes.
    pub normal_failure_rate: f64,
    /// The share of requests that fail outside of episodes, much faster than the usual latency.
    pub normal_fast_failure_rate: f64,
    /// The probability of an episode up to which a backend server is trusted.
    pub trust_below: f64,
    /// The probability of an episode above which a backend server is suspected: requests that must
    /// run at most once are refused even after other gates have refused them.
    pub refuse_above: f64,
    /// The probability above which repeatable requests are admitted as trials only.
    pub trial_above: f64,
    /// The time between two trials while they fail.
    pub trial_interval: Duration,
    /// Concurrent trials after one has succeeded.
    pub max_trials: u8,
}

impl Default for GrayOptions {
    fn default() -> Self {
        Self {
            episode_share: 0.0,
            mean_episode: Duration::from_secs(8),
            episode_failure_rate: 0.9,
            normal_failure_rate: 0.02,
            normal_fast_failure_rate: 0.002,
            trust_below: 0.15,
            refuse_above: 0.4,
            trial_above: 0.6,
            trial_interval: Duration::from_millis(800),
            max_trials: 3,
        }
    }
}

impl GrayOptions {
    /// `from_service` takes the expected share of time from the configuration, at most 90%.
    pub fn from_service(service: &Service) -> Self {
        Self {
            episode_share: f64::from(service.gray_percent.min(90)) / 100.0,
            ..Self::default()
        }
    }

    // Time constant with which the probability relaxes to the expected share. The episodes form a
    // two-state Markov chain, which forgets its state at the sum of both transition rates.
    pub(crate) fn relaxation_time(&self) -> Duration {
        self.mean_episode.mul_f64(1.0 - self.episode_share)
    }
}
