//! The gate's side of ejection leases.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::hash;
use shallothill_core::ids::{EndpointId, KeeperId, Region};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::lease_messages::{EjectionToken, LeaseAnswer, LeaseReply, LeaseRequest, ReleaseRequest};
use crate::options::LeaseOptions;

/// `HolderState` tells what a gate may do with a backend server that it has found to be sick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderState {
    /// No lease is requested.
    Idle,
    /// A lease is requested but not held; the backend server may only be demoted.
    Requesting,
    /// The lease is held; the backend server may be ejected.
    Holding,
}

#[derive(Clone, Debug)]
struct Round {
    number: u64,
    sent_at: Millis,
    answers: BTreeMap<KeeperId, LeaseAnswer>,
}

/// `LeaseHolder` acquires and renews one ejection token for one backend server at the keepers of
/// its region. A lease needs the grants of a majority of them.
///
/// A lease starts when the request is sent, so a reply that is late or lost only shortens it.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    endpoint: EndpointId,
    region: Region,
    keepers: Vec<KeeperId>,
    incarnation: Incarnation,
    options: LeaseOptions,
    lease_requested: bool,
    token_number: u32,
    round: Option<Round>,
    last_round_number: u64,
    held_until: Option<Millis>,
    next_round_at: Millis,
}

impl LeaseHolder {
    /// `new` builds a holder that requests one token from `keepers`, which are all keepers of
    /// `region`.
    ///
    /// `incarnation` must be higher than any earlier one of the gate's process, so that late
    /// releases from before a restart do not free the current grants.
    pub fn new(
        endpoint: EndpointId,
        region: Region,
        keepers: &[KeeperId],
        incarnation: Incarnation,
        options: LeaseOptions,
    ) -> Self {
        Self {
            endpoint,
            region,
            keepers: keepers.to_vec(),
            incarnation,
            options,
            lease_requested: false,
            token_number: 0,
            round: None,
            last_round_number: 0,
            held_until: None,
            next_round_at: Millis(0),
        }
    }

    /// `request_lease` makes [`Self::poll`] request and renew a lease from now on.
    pub fn request_lease(&mut self) {
        self.lease_requested = true;
    }

    /// `release_lease` ends the lease and returns the release to send to every keeper, or `None`
    /// when there is neither a lease nor a pending request.
    pub fn release_lease(&mut self) -> Option<ReleaseRequest> {
        let is_active = self.held_until.is_some() || self.round.is_some();
        self.lease_requested = false;
        self.held_until = None;
        self.round = None;
        is_active.then(|| self.release_request())
    }

    /// `poll` returns the request to send to every keeper now, if any. The gate must call it at
    /// least every 100 ms.
    pub fn poll(&mut self, now: Millis) -> Option<LeaseRequest> {
        if !self.lease_requested || now < self.next_round_at {
            return None;
        }
        if self.is_split_vote(now) {
            self.back_off(now);
            return None;
        }
        self.last_round_number += 1;
        self.round = Some(Round {
            number: self.last_round_number,
            sent_at: now,
            answers: BTreeMap::new(),
        });
        let interval = if self.state(now) == HolderState::Holding {
            self.options.renewal_interval
        } else {
            self.options.answer_timeout
        };
        self.next_round_at = now + interval;
        Some(LeaseRequest {
            token: self.current_token(),
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            round: self.last_round_number,
        })
    }

    /// `on_reply` processes a keeper's reply.
    ///
    /// Returns a release to send to every keeper when a majority can no longer grant the requested
    /// token, so that the holder tries another one.
    pub fn on_reply(&mut self, now: Millis, reply: &LeaseReply) -> Option<ReleaseRequest> {
        let majority = self.keepers.len() / 2 + 1;
        let is_keeper = self.keepers.contains(&reply.keeper);
        let round = self
            .round
            .as_mut()
            .filter(|r| is_keeper && r.number == reply.round)?;
        round.answers.insert(reply.keeper, reply.answer);
        let count = |answer| round.answers.values().filter(|a| **a == answer).count();
        let granted = count(LeaseAnswer::Granted);
        let over_budget = count(LeaseAnswer::OverBudget);
        let refused = count(LeaseAnswer::Taken) + over_budget;
        if granted >= majority {
            self.held_until = Some(round.sent_at + self.options.hold_duration);
            return None;
        }
        let out_of_reach = refused > self.keepers.len() - majority;
        let still_held = self.state(now) == HolderState::Holding && over_budget == 0;
        if !out_of_reach || still_held {
            return None;
        }
        Some(self.switch_token(now, reply.budget))
    }

    /// `state` tells what the gate may do at `now`.
    pub fn state(&self, now: Millis) -> HolderState {
        match self.held_until {
            Some(held_until) if now < held_until => HolderState::Holding,
            _ if self.lease_requested => HolderState::Requesting,
            _ => HolderState::Idle,
        }
    }

    fn switch_token(&mut self, now: Millis, budget: u32) -> ReleaseRequest {
        let release = self.release_request();
        self.token_number = if self.token_number + 1 < budget {
            self.token_number + 1
        } else {
            0
        };
        self.held_until = None;
        self.round = None;
        self.next_round_at = if self.token_number == 0 {
            // All tokens were tried. Holders that split the grants of the keepers wait for
            // different times, so that they do not split them again.
            now + self.options.answer_timeout + self.retry_jitter()
        } else {
            now
        };
        release
    }

    // Tells whether the last round ended without a majority while another holder has grants of the
    // same token. If both renewed what they have, they would block each other.
    fn is_split_vote(&self, now: Millis) -> bool {
        let has_taken = |r: &Round| r.answers.values().any(|a| *a == LeaseAnswer::Taken);
        self.state(now) != HolderState::Holding && self.round.as_ref().is_some_and(has_taken)
    }

    // Lets this holder's grants end before it requests the token again.
    fn back_off(&mut self, now: Millis) {
        self.round = None;
        self.next_round_at = now + self.options.grant_duration + self.retry_jitter();
    }

    // Lies between 0 and two answer timeouts and differs for each endpoint and round.
    fn retry_jitter(&self) -> Duration {
        let seed = format!("{}/{}", self.endpoint, self.last_round_number);
        let jitter_1024ths = hash::hash64(seed.as_bytes()) % 1024;
        self.options.answer_timeout * 2 * jitter_1024ths as u32 / 1024
    }

    fn release_request(&self) -> ReleaseRequest {
        ReleaseRequest {
            token: self.current_token(),
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            round: self.last_round_number,
        }
    }

    fn current_token(&self) -> EjectionToken {
        EjectionToken {
            service: self.endpoint.service.clone(),
            region: self.region.clone(),
            number: self.token_number,
        }
    }
}
