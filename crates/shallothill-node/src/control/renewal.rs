//! Renews the lease on the currency of the configuration when the followed keeper does not.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use rand::Rng;
use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;
use shallothill_runtime::timer::Timer;
use tokio_util::sync::CancellationToken;

use crate::control::{Keeper, Keepers};
use crate::currency::ConfigCurrency;

/// `CHECK_PERIOD` is the time between checks whether the lease needs a question.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// `KEEPERS_PER_ROUND` is the number of keepers asked in one round; with more keepers the rounds go
/// over all of them.
const KEEPERS_PER_ROUND: usize = 5;

/// `CALL_TIMEOUT` is the longest wait for one keeper, which asks the primary itself. It allows a
/// round trip between regions for each of both, and two further rounds within the shortest part of
/// a lease of 5 s that is left.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// `MIN_PAUSE` is the pause after the first round without an answer.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// `MAX_PAUSE` bounds the pause, which doubles with each round without an answer, so that a fleet
/// without a quorum does not load the keepers that are left.
const MAX_PAUSE: Duration = Duration::from_millis(1600);

/// `LeaseRenewal` asks several keepers at a time for the confirmed version once a part of the lease
/// is used, and reports the loss and the return of the lease.
#[derive(Debug)]
pub struct LeaseRenewal {
    /// The keepers to ask.
    pub keepers: Arc<Keepers>,
    /// The lease.
    pub currency: Arc<ConfigCurrency>,
    /// The timer for the checks.
    pub timer: Timer,
}

impl LeaseRenewal {
    /// `run` renews the lease until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = self.ask_when_needed() => {}
            () = self.observe() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn observe(&self) {
        let mut ticks = self.timer.every(CHECK_PERIOD);
        while ticks.recv().await.is_some() {
            self.currency.observe();
        }
    }

    async fn ask_when_needed(&self) {
        let mut ticks = self.timer.every(CHECK_PERIOD);
        let mut first = 0;
        let mut pause = MIN_PAUSE;
        while ticks.recv().await.is_some() {
            if !self.currency.needs_question() {
                pause = MIN_PAUSE;
                continue;
            }
            let all = self.keepers.all();
            let asked = (0..KEEPERS_PER_ROUND.min(all.len()))
                .filter_map(|i| all.get((first + i) % all.len()).cloned());
            if self.ask(asked).await {
                continue;
            }
            first = (first + KEEPERS_PER_ROUND) % all.len().max(1);
            let jitter = rand::rng().random_range(0.75..1.25);
            // The timer fails only when the process ends.
            let _ = self.timer.after(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    // Returns whether a keeper confirmed a version that counts.
    async fn ask(&self, keepers: impl Iterator<Item = Arc<Keeper>>) -> bool {
        let mut calls: FuturesUnordered<_> = keepers.map(|k| self.confirmed_version(k)).collect();
        while let Some(answer) = calls.next().await {
            if let Some((sent, version)) = answer
                && self.currency.record(sent, version, 0)
            {
                return true;
            }
        }
        false
    }

    async fn confirmed_version(&self, keeper: Arc<Keeper>) -> Option<(Millis, ConfigVersion)> {
        let sent = self.currency.start_question();
        let call = keeper.channel().call(CALL_TIMEOUT, |c, cx| async move {
            c.confirmed_version(cx).await
        });
        Some((sent, call.await.ok()??))
    }
}
