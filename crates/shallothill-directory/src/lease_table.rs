//! The keeper's side of ejection leases.

use std::collections::BTreeMap;

use shallothill_core::ids::{EndpointId, KeeperId};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::lease_messages::{EjectionToken, LeaseAnswer, LeaseReply, LeaseRequest, ReleaseRequest};
use crate::options::LeaseOptions;

#[derive(Clone, Debug)]
struct Grant {
    endpoint: EndpointId,
    order: (Incarnation, u64),
    ends_at: Millis,
}

/// `LeaseTable` reserves tokens at one keeper. Its state is in memory only: after a start it
/// grants nothing until every grant from before the restart has ended.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    me: KeeperId,
    started_at: Millis,
    options: LeaseOptions,
    grants: BTreeMap<EjectionToken, Grant>,
}

impl LeaseTable {
    /// `new` builds an empty table at the keeper's start, at `now`.
    pub fn new(me: KeeperId, now: Millis, options: LeaseOptions) -> Self {
        Self {
            me,
            started_at: now,
            options,
            grants: BTreeMap::new(),
        }
    }

    /// `handle_request` grants or refuses a token.
    ///
    /// `budget` is the number of healthy or ejected backend servers of the service in the region,
    /// less the region's floor.
    pub fn handle_request(&mut self, now: Millis, req: &LeaseRequest, budget: u32) -> LeaseReply {
        let answer = self.answer_to(now, req, budget);
        if answer == LeaseAnswer::Granted {
            self.reserve(now, req);
        }
        LeaseReply {
            keeper: self.me,
            round: req.round,
            answer,
            budget,
        }
    }

    /// `handle_release` frees a token that its holder gives back.
    ///
    /// A release that arrives after its sender has requested the token again frees nothing: the
    /// sender may rely on the newer grant.
    pub fn handle_release(&mut self, req: &ReleaseRequest) {
        let order = (req.incarnation, req.round);
        let is_released = |g: &Grant| g.endpoint == req.endpoint && g.order <= order;
        if self.grants.get(&req.token).is_some_and(is_released) {
            self.grants.remove(&req.token);
        }
    }

    /// `drop_ended_grants` drops the grants that end at or before `now`.
    pub fn drop_ended_grants(&mut self, now: Millis) {
        self.grants.retain(|_, g| g.ends_at > now);
    }

    /// `grants` iterates over the reserved tokens and the backend servers that hold them.
    pub fn grants(&self) -> impl Iterator<Item = (&EjectionToken, &EndpointId)> {
        self.grants.iter().map(|(t, g)| (t, &g.endpoint))
    }

    fn reserve(&mut self, now: Millis, req: &LeaseRequest) {
        let mut order = (req.incarnation, req.round);
        if let Some(g) = self.grants.get(&req.token)
            && g.endpoint == req.endpoint
        {
            // A late request must not lower the order below that of the current grant.
            order = order.max(g.order);
        }
        let grant = Grant {
            endpoint: req.endpoint.clone(),
            order,
            ends_at: now + self.options.grant_duration,
        };
        self.grants.insert(req.token.clone(), grant);
    }

    fn answer_to(&self, now: Millis, req: &LeaseRequest, budget: u32) -> LeaseAnswer {
        if now.saturating_since(self.started_at) < self.options.startup_wait {
            return LeaseAnswer::Starting;
        }
        if req.token.number >= budget {
            return LeaseAnswer::OverBudget;
        }
        match self.grants.get(&req.token) {
            Some(g) if g.ends_at > now && g.endpoint != req.endpoint => LeaseAnswer::Taken,
            _ => LeaseAnswer::Granted,
        }
    }
}
