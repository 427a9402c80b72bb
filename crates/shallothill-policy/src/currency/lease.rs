//! The state of the lease and its decisions.

use std::collections::VecDeque;
use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;

use super::Confirmation;

/// `MARGIN_DIVISOR` gives the part of the bound by which the lease is shorter, for clocks that run
/// at different rates.
const MARGIN_DIVISOR: u32 = 100;

/// `MARGIN` is what the lease is shorter by in addition. Each of the four times behind a check is cut
/// to whole milliseconds; the rest covers the time between the check and the write of the request.
const MARGIN: Duration = Duration::from_millis(10);

/// `ASK_AFTER_PERCENT` is the used part of the lease from which the node asks more keepers. The rest
/// covers several rounds of questions and an election.
const ASK_AFTER_PERCENT: u32 = 45;

/// `HISTORY_MAX` bounds the remembered versions. Confirmations are a few seconds old at most, and a
/// forgotten version only makes older confirmations count less.
const HISTORY_MAX: usize = 32;

/// `LeaseState` tells whether requests with keys are admitted, and why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// The lease holds until this time.
    Held(Millis),
    /// A confirmed version is above the one in force.
    Behind(ConfigVersion),
    /// The last confirmation is too old, or there was none.
    Expired,
}

/// `CurrencyLease` holds the confirmations of a node and decides whether its configuration can lack
/// a version that was acknowledged longer than the bound ago.
#[derive(Clone, Debug)]
pub struct CurrencyLease {
    duration: Duration,
    newest: ConfigVersion,
    confirmed_at: Option<Millis>,
    /// When each version came in force, the last one at the back.
    in_force: VecDeque<(ConfigVersion, Millis)>,
}

impl CurrencyLease {
    /// `new` returns a lease without a confirmation. `bound` is the time after an acknowledgement
    /// from which no node may act on an older version.
    pub fn new(bound: Duration) -> Self {
        let margin = MARGIN + bound / MARGIN_DIVISOR;
        Self {
            duration: bound.saturating_sub(margin),
            newest: ConfigVersion(0),
            confirmed_at: None,
            in_force: VecDeque::from([(ConfigVersion(0), Millis(0))]),
        }
    }

    /// `observe_in_force` records the version in force at `now`. Call it before each question and
    /// before [`Self::record`].
    pub fn observe_in_force(&mut self, now: Millis, version: ConfigVersion) {
        if version <= self.version() {
            return;
        }
        self.in_force.push_back((version, now));
        if self.in_force.len() > HISTORY_MAX {
            self.in_force.pop_front();
        }
    }

    /// `record` takes a confirmation into account and returns whether it counts.
    ///
    /// It does not count if the node had a higher version in force at its time. Nodes act on accepted
    /// versions only, so the keepers have lost versions then, and the keys of the node's version may
    /// be revoked in one that the keepers numbered lower.
    pub fn record(&mut self, confirmation: Confirmation) -> bool {
        self.newest = self.newest.max(confirmation.version);
        if self.version_at(confirmation.at) > confirmation.version {
            return false;
        }
        self.confirmed_at = self.confirmed_at.max(Some(confirmation.at));
        true
    }

    /// `state` tells whether a request that uses `version` is admitted at `now`.
    pub fn state(&self, now: Millis, version: ConfigVersion) -> LeaseState {
        if self.newest > version {
            return LeaseState::Behind(self.newest);
        }
        match self.confirmed_at.map(|at| at + self.duration) {
            Some(end) if now < end => LeaseState::Held(end),
            _ => LeaseState::Expired,
        }
    }

    /// `needs_question` tells whether so much of the lease is used that the node should ask more
    /// keepers than the one that it follows.
    pub fn needs_question(&self, now: Millis) -> bool {
        let ask_after = self.duration * ASK_AFTER_PERCENT / 100;
        self.confirmed_at.is_none_or(|at| now >= at + ask_after)
    }

    fn version(&self) -> ConfigVersion {
        self.in_force.back().map_or(ConfigVersion(0), |(v, _)| *v)
    }

    // Returns a version that is at least the one in force at `at`.
    fn version_at(&self, at: Millis) -> ConfigVersion {
        let mut newest_first = self.in_force.iter().rev();
        let found = newest_first.find(|(_, since)| *since <= at);
        let oldest = self.in_force.front();
        found.or(oldest).map_or(ConfigVersion(0), |(v, _)| *v)
    }
}
