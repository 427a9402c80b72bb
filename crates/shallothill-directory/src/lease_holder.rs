//! The gate's side of ejection leases.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::hash;
use shallothill_core::ids::{EndpointId, KeeperId, Region};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::lease_messages::{EjectionToken, LeaseAnswer, LeaseReply, LeaseRequest, ReleaseRequest};
use crate::options::LeaseOptions;

/// `HolderState` tells what a gate may do with a sick backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderState {
    /// Nothing is asked for.
    Idle,
    /// Answers are awaited; the backend server may only be demoted.
    Requesting,
    /// The backend server may be ejected.
    Holding,
}

#[derive(Clone, Debug)]
struct Round {
    number: u64,
    sent: Millis,
    answers: BTreeMap<KeeperId, LeaseAnswer>,
}

/// `LeaseHolder` asks the keepers of a region for one token of one backend server and renews it.
///
/// The time of a lease counts from when the request was sent, so a grant that is late or lost on
/// its way back only shortens the lease.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    endpoint: EndpointId,
    region: Region,
    keepers: Vec<KeeperId>,
    incarnation: Incarnation,
    options: LeaseOptions,
    wanted: bool,
    token: u32,
    round: Option<Round>,
    rounds: u64,
    held_until: Option<Millis>,
    next_round: Millis,
}

impl LeaseHolder {
    /// `new` builds a holder that asks `keepers`, all keepers of `region`, for one token.
    ///
    /// `incarnation` must be higher than that of any earlier life of the gate's process, so that
    /// releases of that life do not free what this one holds.
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
            wanted: false,
            token: 0,
            round: None,
            rounds: 0,
            held_until: None,
            next_round: Millis(0),
        }
    }

    /// `request_lease` asks for a lease from now on.
    pub fn request_lease(&mut self) {
        self.wanted = true;
    }

    /// `release_lease` ends the lease and returns the release to send to every keeper.
    pub fn release_lease(&mut self) -> Option<ReleaseRequest> {
        let asked = self.held_until.is_some() || self.round.is_some();
        self.wanted = false;
        self.held_until = None;
        self.round = None;
        asked.then(|| self.release())
    }

    /// `poll` returns the request to send to every keeper now, if any; call it at least every
    /// 100 ms.
    pub fn poll(&mut self, now: Millis) -> Option<LeaseRequest> {
        if !self.wanted || now < self.next_round {
            return None;
        }
        if self.is_split(now) {
            self.back_off(now);
            return None;
        }
        self.rounds += 1;
        self.round = Some(Round {
            number: self.rounds,
            sent: now,
            answers: BTreeMap::new(),
        });
        let pause = if self.state(now) == HolderState::Holding {
            self.options.renewal_interval
        } else {
            self.options.answer_timeout
        };
        self.next_round = now + pause;
        Some(LeaseRequest {
            token: self.token(),
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            round: self.rounds,
        })
    }

    /// `on_reply` takes a keeper's answer.
    ///
    /// Returns a release to send to every keeper when the token that was asked for is out of
    /// reach and another one is tried.
    pub fn on_reply(&mut self, now: Millis, reply: &LeaseReply) -> Option<ReleaseRequest> {
        let majority = self.keepers.len() / 2 + 1;
        let member = self.keepers.contains(&reply.keeper);
        let round = self
            .round
            .as_mut()
            .filter(|r| member && r.number == reply.round)?;
        round.answers.insert(reply.keeper, reply.answer);
        let count = |wanted| round.answers.values().filter(|a| **a == wanted).count();
        let granted = count(LeaseAnswer::Granted);
        let over_budget = count(LeaseAnswer::OverBudget);
        let refused = count(LeaseAnswer::Taken) + over_budget;
        if granted >= majority {
            self.held_until = Some(round.sent + self.options.hold_duration);
            return None;
        }
        let out_of_reach = refused > self.keepers.len() - majority;
        let still_held = self.state(now) == HolderState::Holding && over_budget == 0;
        if !out_of_reach || still_held {
            return None;
        }
        Some(self.next_token(now, reply.budget))
    }

    /// `state` tells what the gate may do at `now`.
    pub fn state(&self, now: Millis) -> HolderState {
        match self.held_until {
            Some(until) if now < until => HolderState::Holding,
            _ if self.wanted => HolderState::Requesting,
            _ => HolderState::Idle,
        }
    }

    fn next_token(&mut self, now: Millis, budget: u32) -> ReleaseRequest {
        let release = self.release();
        self.token = if self.token + 1 < budget {
            self.token + 1
        } else {
            0
        };
        self.held_until = None;
        self.round = None;
        self.next_round = if self.token == 0 {
            // All tokens were tried. Contenders that split the grants wait unequally long, so
            // that they do not split them again.
            now + self.options.answer_timeout + self.dither()
        } else {
            now
        };
        release
    }

    // Whether the answers to the last round are late and the present ones are split between
    // contenders, which would block each other by renewing what they have.
    fn is_split(&self, now: Millis) -> bool {
        let taken = |r: &Round| r.answers.values().any(|a| *a == LeaseAnswer::Taken);
        self.state(now) != HolderState::Holding && self.round.as_ref().is_some_and(taken)
    }

    // Lets the own grants end before the token is asked for again.
    fn back_off(&mut self, now: Millis) {
        self.round = None;
        self.next_round = now + self.options.grant_duration + self.dither();
    }

    // Between 0 and two answer times, different for each endpoint and round.
    fn dither(&self) -> Duration {
        let seed = format!("{}/{}", self.endpoint, self.rounds);
        let part = hash::short(seed.as_bytes()) % 1024;
        self.options.answer_timeout * 2 * part as u32 / 1024
    }

    fn release(&self) -> ReleaseRequest {
        ReleaseRequest {
            token: self.token(),
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            round: self.rounds,
        }
    }

    fn token(&self) -> EjectionToken {
        EjectionToken {
            service: self.endpoint.service.clone(),
            region: self.region.clone(),
            number: self.token,
        }
    }
}
