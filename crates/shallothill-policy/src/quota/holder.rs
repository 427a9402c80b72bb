//! Holds tokens for the requests of one node and decides what to ask for.

use std::collections::HashMap;
use std::time::Duration;

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;

use super::messages::{CreditAsk, CreditReply, CreditRequest};
use super::options::HolderOptions;
use super::pool::{Pool, Token};

/// `DENIAL_KEPT_MIN` and `DENIAL_KEPT_MAX` bound the time for which a denial is answered without a new
/// request. With the first one, the excess of a large caller costs at most 20 requests a second.
const DENIAL_KEPT_MIN: Duration = Duration::from_millis(50);
const DENIAL_KEPT_MAX: Duration = Duration::from_millis(300);

/// `ASKS_MAX` bounds the callers in one request, at half of what a granter accepts.
const ASKS_MAX: usize = 10_000;

/// `Take` is the answer to a request for a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Take {
    /// The request may run.
    Token(Token),
    /// The caller is over its quota; there is credit again after the given time.
    Denied(Duration),
    /// The granter has to be asked.
    Ask,
}

/// `Holder` holds the tokens of all active callers at one node or, as part of a relay, at a keeper.
#[derive(Debug)]
pub struct Holder {
    options: HolderOptions,
    sender: u64,
    number: u64,
    acknowledged: u64,
    granter: u64,
    in_flight: Option<(CreditRequest, Millis)>,
    pools: HashMap<u64, Pool>,
}

impl Holder {
    /// `new` returns a holder without tokens; `sender` identifies the run of the process.
    pub fn new(options: HolderOptions, sender: u64) -> Self {
        Self {
            options,
            sender,
            number: 0,
            acknowledged: 0,
            granter: 0,
            in_flight: None,
            pools: HashMap::new(),
        }
    }

    /// `take` takes a token for a request of `caller`, which has `quota` now.
    pub fn take(&mut self, now: Millis, caller: u64, quota: Quota) -> Take {
        let pool = self.pool(now, caller, quota);
        if let Some(expires) = pool.pop(now) {
            pool.count_used(1);
            return Take::Token(Token {
                caller,
                quota,
                expires,
            });
        }
        pool.denial(now).map_or(Take::Ask, Take::Denied)
    }

    /// `arrive` counts a request of `caller` towards its demand, once for each request.
    pub fn arrive(&mut self, now: Millis, caller: u64, quota: Quota) {
        self.pool(now, caller, quota).count_demand(now, 1);
    }

    /// `put_back` returns the token of a request that did not run.
    pub fn put_back(&mut self, now: Millis, token: Token) {
        let Some(pool) = self.pools.get_mut(&token.caller) else {
            return;
        };
        if pool.quota != token.quota || token.expires <= now {
            return;
        }
        // A use that is reported already stays counted; the token then is one more that is held.
        if pool.used > pool.used_sent {
            pool.used -= 1;
        }
        pool.push(1, token.expires);
    }

    /// `start_waiting` records a request that waits for a token.
    pub fn start_waiting(&mut self, now: Millis, caller: u64, quota: Quota) {
        self.pool(now, caller, quota).waiting += 1;
    }

    /// `stop_waiting` ends [`Self::start_waiting`].
    pub fn stop_waiting(&mut self, caller: u64) {
        if let Some(pool) = self.pools.get_mut(&caller) {
            pool.waiting = pool.waiting.saturating_sub(1);
        }
    }

    /// `has_unanswered` tells whether a request waits for a token that was neither granted nor denied.
    pub fn has_unanswered(&mut self, now: Millis) -> bool {
        let mut pools = self.pools.values_mut();
        pools.any(|p| p.waiting > p.local(now) && p.denial(now).is_none())
    }

    /// `request` returns the next request; `None` if nothing has changed and no caller is active.
    /// It supersedes a request that is in flight.
    pub fn request(&mut self, now: Millis) -> Option<CreditRequest> {
        self.in_flight = None;
        self.pools
            .retain(|_, pool| pool.is_recent(now) || pool.has_state(now));
        let options = &self.options;
        let asks = self.pools.iter_mut().filter_map(|(caller, pool)| {
            let ask = pool.ask(now, *caller, options);
            let changed = ask.used > 0 || ask.held != pool.held_known;
            (changed || ask.needed > 0 || ask.wanted > 0).then_some(ask)
        });
        let asks: Vec<CreditAsk> = asks.take(ASKS_MAX).collect();
        if asks.is_empty() {
            return None;
        }
        self.number += 1;
        let req = CreditRequest {
            sender: self.sender,
            number: self.number,
            acknowledged: self.acknowledged,
            granter: self.granter,
            asks,
        };
        self.in_flight = Some((req.clone(), now));
        Some(req)
    }

    /// `apply` takes the reply to the request in flight; other replies are dropped. Returns the
    /// number of callers that were denied.
    pub fn apply(&mut self, now: Millis, reply: &CreditReply) -> usize {
        let Some((req, sent)) = self.in_flight.take_if(|(r, _)| r.number == reply.number) else {
            return 0;
        };
        self.acknowledged = req.number;
        if self.granter == reply.granter {
            for ask in &req.asks {
                if let Some(pool) = self.pools.get_mut(&ask.caller) {
                    pool.used -= pool.used_sent;
                    pool.used_sent = 0;
                    pool.held_known = ask.held;
                }
            }
        } else {
            self.granter = reply.granter;
            let pools = self.pools.values_mut();
            pools.for_each(|pool| pool.change_granter(now));
        }
        let mut denied = 0;
        for grant in &reply.grants {
            let Some(pool) = self.pools.get_mut(&grant.caller) else {
                continue;
            };
            if grant.tokens > 0 {
                let ttl = Duration::from_millis(u64::from(grant.ttl_ms));
                pool.push(grant.tokens, sent + ttl);
                pool.settled += grant.settled;
                pool.held_known += grant.tokens - grant.settled.min(grant.tokens);
            }
            if grant.denied_ms > 0 {
                let until = Duration::from_millis(u64::from(grant.denied_ms));
                pool.denied_until = now + until.clamp(DENIAL_KEPT_MIN, DENIAL_KEPT_MAX);
                pool.credit_at = now + until;
                denied += 1;
            }
        }
        denied
    }

    /// `callers` returns the number of callers with state.
    pub fn callers(&self) -> usize {
        self.pools.len()
    }

    /// `tokens` returns the tokens held for all callers.
    pub fn tokens(&mut self, now: Millis) -> u64 {
        let pools = self.pools.values_mut();
        pools.map(|pool| u64::from(pool.local(now))).sum()
    }

    pub(super) fn known_pool(&mut self, caller: u64) -> Option<&mut Pool> {
        self.pools.get_mut(&caller)
    }

    pub(super) fn pool(&mut self, now: Millis, caller: u64, quota: Quota) -> &mut Pool {
        let pool = self.pools.entry(caller);
        let pool = pool.or_insert_with(|| Pool::new(now, quota));
        pool.set_quota(quota);
        pool
    }
}

impl Pool {
    fn has_state(&mut self, now: Millis) -> bool {
        self.waiting > 0 || self.used > 0 || self.held(now) != self.held_known || self.lent > 0
    }

    fn ask(&mut self, now: Millis, caller: u64, options: &HolderOptions) -> CreditAsk {
        let target = self.target(now, options);
        // A surplus of one is not worth a message.
        if self.local(now) > target + 1 || target == 0 {
            self.trim(now, target);
        }
        let denied = self.denial(now).is_some();
        let local = self.local(now);
        let missing = target.saturating_sub(local);
        // Requests that were woken by the last reply still count as waiting until they have run.
        let unmet_needs = self.waiting.saturating_sub(local);
        let wanted = missing + std::mem::take(&mut self.unmet);
        self.used_sent = self.used;
        CreditAsk {
            caller,
            used: self.used,
            held: self.held(now),
            needed: if denied { 0 } else { unmet_needs },
            wanted: if denied { 0 } else { wanted },
        }
    }
}
