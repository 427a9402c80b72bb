//! Passes tokens of the issuer on to the holders of nodes.

use std::collections::HashMap;

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;

use super::holder::Holder;
use super::messages::{CreditAsk, CreditGrant, CreditReply, CreditRequest};
use super::options::HolderOptions;
use super::receivers::Receivers;
use super::senders::Senders;

/// `Relay` holds tokens and lends them to the nodes that ask one keeper.
#[derive(Debug)]
pub struct Relay {
    id: u64,
    holder: Holder,
    senders: Senders,
    receivers: HashMap<u64, Receivers>,
}

/// `RelayReply` is the reply to a node as far as the relay's own tokens go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayReply {
    /// The reply.
    pub reply: CreditReply,
    /// The callers whose needs are not met or denied, with the tokens that are missing. The issuer
    /// has to be asked before the reply is sent.
    pub missing: Vec<(u64, u32)>,
}

impl Relay {
    /// `new` returns a relay without tokens; `id` identifies the run of the process and is not 0.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            holder: Holder::new(HolderOptions::relay(), id),
            senders: Senders::default(),
            receivers: HashMap::new(),
        }
    }

    /// `holder` returns the side that asks the issuer.
    pub fn holder(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// `callers` returns the number of callers with state.
    pub fn callers(&self) -> usize {
        self.holder.callers()
    }

    /// `handle` records the report of a node and grants what the relay has. `quota_of` returns the
    /// quota of a configured caller.
    ///
    /// Returns `None` for a request that was superseded before it arrived.
    pub fn handle(
        &mut self,
        now: Millis,
        req: &CreditRequest,
        quota_of: impl Fn(u64) -> Option<Quota>,
    ) -> Option<RelayReply> {
        if !self.senders.accept(now, req.sender, req.number) {
            return None;
        }
        for ask in &req.asks {
            let quota = quota_of(ask.caller).unwrap_or_default();
            self.record(now, req, ask, quota);
        }
        let reply = CreditReply {
            granter: self.id,
            number: req.number,
            grants: Vec::new(),
        };
        let missing = req.asks.iter().filter(|ask| ask.needed > 0);
        let missing = missing.map(|ask| (ask.caller, ask.needed)).collect();
        let mut answer = RelayReply { reply, missing };
        self.complete(now, &quota_of, &mut answer);
        for ask in &req.asks {
            let quota = quota_of(ask.caller).unwrap_or_default();
            let granted = self.lend(now, Some(req.sender), ask.caller, quota, ask.wanted);
            let pool = self.holder.pool(now, ask.caller, quota);
            let missing = ask.wanted - granted.as_ref().map_or(0, |g| g.tokens);
            pool.unmet = pool.unmet.saturating_add(missing);
            answer.reply.grants.extend(granted);
        }
        Some(answer)
    }

    /// `complete` grants what was missing in `answer`, or denies it if the issuer did.
    pub fn complete(
        &mut self,
        now: Millis,
        quota_of: impl Fn(u64) -> Option<Quota>,
        answer: &mut RelayReply,
    ) {
        for (caller, missing) in &mut answer.missing {
            let quota = quota_of(*caller).unwrap_or_default();
            if let Some(grant) = self.lend(now, None, *caller, quota, *missing) {
                *missing -= grant.tokens;
                answer.reply.grants.push(grant);
            }
            let pool = self.holder.pool(now, *caller, quota);
            if *missing > 0
                && let Some(denied) = pool.denial(now)
            {
                answer.reply.grants.push(CreditGrant {
                    caller: *caller,
                    tokens: 0,
                    settled: 0,
                    ttl_ms: 0,
                    denied_ms: denied.as_millis() as u32,
                });
                *missing = 0;
            }
        }
        answer.missing.retain(|(_, missing)| *missing > 0);
    }

    /// `start_waiting` records that nodes wait for the missing tokens of `answer`.
    pub fn start_waiting(&mut self, now: Millis, answer: &RelayReply) {
        for (caller, missing) in &answer.missing {
            if let Some(pool) = self.holder.known_pool(*caller) {
                pool.waiting = pool.waiting.saturating_add(*missing);
                pool.seen = now;
            }
        }
    }

    /// `stop_waiting` ends [`Self::start_waiting`] for the same missing tokens.
    pub fn stop_waiting(&mut self, missing: &[(u64, u32)]) {
        for (caller, missing) in missing {
            if let Some(pool) = self.holder.known_pool(*caller) {
                pool.waiting = pool.waiting.saturating_sub(*missing);
            }
        }
    }

    /// `expire` counts the tokens of nodes that no longer report as used, and drops idle state. Call
    /// it before each request to the issuer.
    pub fn expire(&mut self, now: Millis) {
        self.receivers.retain(|caller, receivers| {
            let unreported = receivers.expire(now);
            if let Some(pool) = self.holder.known_pool(*caller) {
                pool.count_used(unreported);
                pool.lent = receivers.outstanding();
            }
            !receivers.is_empty()
        });
        self.senders.drop_idle(now);
    }

    fn record(&mut self, now: Millis, req: &CreditRequest, ask: &CreditAsk, quota: Quota) {
        let own = req.granter == self.id;
        let receivers = self.receivers.entry(ask.caller).or_default();
        let expired = receivers.expire(now);
        let used = receivers.report(now, req, ask, own);
        let pool = self.holder.pool(now, ask.caller, quota);
        pool.count_used(used + expired);
        pool.lent = receivers.outstanding();
        if ask.used + ask.needed > 0 {
            pool.count_demand(now, ask.used + ask.needed);
        }
    }

    // Passes on up to `tokens`; `None` if there are none. Without a receiver they are for requests
    // that wait, and count as used.
    fn lend(
        &mut self,
        now: Millis,
        receiver: Option<u64>,
        caller: u64,
        quota: Quota,
        tokens: u32,
    ) -> Option<CreditGrant> {
        let pool = self.holder.pool(now, caller, quota);
        let mut lent = 0;
        let mut expires = Millis(u64::MAX);
        while lent < tokens
            && let Some(at) = pool.pop(now)
        {
            lent += 1;
            expires = expires.min(at);
        }
        if lent == 0 {
            return None;
        }
        match receiver {
            Some(receiver) => {
                pool.lent += lent;
                let receivers = self.receivers.entry(caller).or_default();
                receivers.add(receiver, lent, expires);
            }
            None => pool.count_used(lent),
        }
        let ttl = expires.saturating_since(now).as_millis();
        Some(CreditGrant {
            caller,
            tokens: lent,
            settled: if receiver.is_none() { lent } else { 0 },
            ttl_ms: ttl.min(u128::from(u16::MAX)) as u16,
            denied_ms: 0,
        })
    }
}
