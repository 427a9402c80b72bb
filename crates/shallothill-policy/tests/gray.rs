//! Tests of the estimator of gray failure episodes.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::time::Millis;
use shallothill_policy::gray::{Caution, EpisodeEstimator, GrayOptions, Observation};

const USUAL_LATENCY: Duration = Duration::from_millis(300);
const FAST: Duration = Duration::from_millis(1);

fn options() -> GrayOptions {
    GrayOptions {
        episode_share: 0.3,
        ..GrayOptions::default()
    }
}

fn observe_served(estimate: &mut EpisodeEstimator, from: u64, times: u64) {
    for n in 0..times {
        estimate.observe(
            Millis(from + n * 100),
            Observation::Served(USUAL_LATENCY),
            USUAL_LATENCY,
        );
    }
}

/// Guards against losing further requests that run at most once after the first sign of an episode.
#[test]
fn one_fast_failure_refuses_requests_that_run_once() {
    let mut estimate = EpisodeEstimator::new(options());
    observe_served(&mut estimate, 0, 20);

    estimate.observe(Millis(2_000), Observation::Failed(FAST), USUAL_LATENCY);

    assert!(!estimate.admits(Millis(2_001), Caution::Trust));
    assert!(!estimate.admits(Millis(3_500), Caution::Trust));
}

/// Guards against refusals by a whole service when a service that it calls fails: those failures
/// take the usual time.
#[test]
fn slow_failures_alone_refuse_nothing() {
    let mut estimate = EpisodeEstimator::new(options());
    observe_served(&mut estimate, 0, 20);

    for n in 0..4 {
        estimate.observe(
            Millis(2_000 + n),
            Observation::Failed(USUAL_LATENCY),
            USUAL_LATENCY,
        );
    }

    assert!(estimate.admits(Millis(2_010), Caution::Trust));
}

/// Guards against a backend server that stays unused after its episode: trials show that it serves.
#[test]
fn successful_trials_end_the_suspicion() {
    let mut estimate = EpisodeEstimator::new(options());
    estimate.observe(Millis(0), Observation::Failed(FAST), USUAL_LATENCY);
    assert!(
        !estimate.admits(Millis(100), Caution::Try),
        "a trial came too soon"
    );
    assert!(
        estimate.admits(Millis(1_000), Caution::Try),
        "no trial was admitted"
    );

    observe_served(&mut estimate, 1_100, 3);

    assert!(estimate.admits(Millis(1_400), Caution::Trust));
}

/// Guards against a backend server that gets no request for some seconds and then none for good: it
/// is no longer trusted and not yet suspected.
#[test]
fn a_server_without_recent_requests_asks_for_a_trial() {
    let mut estimate = EpisodeEstimator::new(options());
    observe_served(&mut estimate, 0, 20);
    assert!(!estimate.lacks_evidence(Millis(2_000)), "trusted");

    let idle = Millis(7_000);
    assert!(!estimate.admits(idle, Caution::Trust));
    assert!(estimate.lacks_evidence(idle));

    estimate.observe(idle, Observation::Served(USUAL_LATENCY), USUAL_LATENCY);
    assert!(!estimate.lacks_evidence(idle), "a trial has succeeded");
    estimate.observe(idle, Observation::Failed(FAST), USUAL_LATENCY);
    assert!(!estimate.lacks_evidence(idle), "suspected");
}

/// Guards against trials where no episodes are expected.
#[test]
fn without_an_expected_share_no_trial_is_asked_for() {
    let estimate = EpisodeEstimator::new(GrayOptions::default());

    assert!(!estimate.lacks_evidence(Millis(60_000)));
}

/// Guards against a service without repeatable requests, and so without trials, losing its servers
/// for good.
#[test]
fn suspicion_fades_without_requests() {
    let mut estimate = EpisodeEstimator::new(options());

    estimate.observe(Millis(0), Observation::Failed(FAST), USUAL_LATENCY);

    assert!(!estimate.admits(Millis(5_000), Caution::Settle));
    assert!(estimate.admits(Millis(20_000), Caution::Settle));
}

/// Guards against an estimate that refuses requests where no episodes are expected.
#[test]
fn without_an_expected_share_nothing_is_refused() {
    let mut estimate = EpisodeEstimator::new(GrayOptions::default());

    for n in 0..50 {
        estimate.observe(Millis(n), Observation::Failed(FAST), USUAL_LATENCY);
    }

    assert!(estimate.admits(Millis(51), Caution::Trust));
}

struct Server {
    estimate: EpisodeEstimator,
    in_episode: bool,
    until: u64,
}

/// Simulates 12 servers with episodes of 8 s for 30% of the time and 60 requests per second, of
/// which a fifth may be repeated; returns the share of the others that failed or found no server.
fn lost_share(options: &GrayOptions, seed: u64) -> f64 {
    const DURATION_MS: u64 = 60_000;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut servers: Vec<Server> = (0..12)
        .map(|_| Server {
            estimate: EpisodeEstimator::new(options.clone()),
            in_episode: rng.random_bool(0.3),
            until: rng.random_range(0..19_000),
        })
        .collect();
    let (mut sent, mut lost) = (0, 0);
    for now in (0..DURATION_MS).step_by(17) {
        for s in &mut servers {
            if now >= s.until {
                s.in_episode = !s.in_episode;
                let mean = if s.in_episode { 8_000 } else { 19_000 };
                s.until = now + rng.random_range(mean / 2..mean * 3 / 2);
            }
        }
        let idempotent = rng.random_bool(0.2);
        let first = rng.random_range(0..servers.len());
        let tried = (0..servers.len()).map(|i| (first + i) % 12).find(|i| {
            let s = &mut servers[*i];
            s.estimate
                .admits(Millis(now), Caution::for_request(idempotent, false, 3, 12))
        });
        let failed = tried.is_none_or(|i| {
            let s = &mut servers[i];
            let fails = rng.random_bool(if s.in_episode { 0.9 } else { 0.012 });
            let observation = if fails {
                Observation::Failed(FAST)
            } else {
                Observation::Served(USUAL_LATENCY)
            };
            s.estimate.observe(Millis(now), observation, USUAL_LATENCY);
            fails
        });
        if !idempotent {
            sent += 1;
            lost += u32::from(failed);
        }
    }
    f64::from(lost) / f64::from(sent)
}

/// Guards against bookings lost to servers that are known to fail: the estimate has to save at
/// least three quarters of what is lost without it.
#[test]
fn episodes_fail_few_requests_that_run_once() {
    for seed in [1, 2, 3, 4] {
        let with = lost_share(&options(), seed);
        let without = lost_share(&GrayOptions::default(), seed);

        assert!(without > 0.2, "the episodes cost only {without}");
        assert!(with < without / 4.0, "seed {seed}: {with} of {without}");
    }
}

/// Guards against nodes that avoid a server for longer or shorter than its gate refuses requests.
#[test]
fn a_suspicion_lasts_as_long_as_it_says() {
    let mut estimate = EpisodeEstimator::new(options());
    estimate.observe(Millis(1000), Observation::Failed(FAST), USUAL_LATENCY);

    let left = estimate.suspected_for(Millis(1000));

    assert!(left > Duration::from_secs(3), "{left:?}");
    assert!(estimate.is_suspect(Millis(990) + left));
    assert!(!estimate.is_suspect(Millis(1010) + left));
    assert_eq!(estimate.suspected_for(Millis(1010) + left), Duration::ZERO);
}
