//! Grants tokens from the bucket of each caller.

use std::collections::HashMap;
use std::time::Duration;

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;

use super::messages::{CreditAsk, CreditGrant, CreditReply, CreditRequest};
use super::options::{CreditOptions, MICROS, TIME_TO_LIVE};
use super::receivers::Receivers;
use super::senders::Senders;

/// `UNKNOWN_CALLER_MS` is the delay for a caller that the configuration no longer has.
const UNKNOWN_CALLER_MS: u32 = 500;

/// `DENIED_MAX_MS` bounds a denial, in case the quota is raised meanwhile.
const DENIED_MAX_MS: u64 = 30_000;

/// `Issuer` has the token bucket of each active caller.
///
/// In each bucket, the tokens saved up and those outstanding never exceed the capacity together. So
/// the tokens used in any window are at most the capacity and what the bucket gains in the window.
#[derive(Debug)]
pub struct Issuer {
    options: CreditOptions,
    id: u64,
    started: Millis,
    senders: Senders,
    buckets: HashMap<u64, Bucket>,
}

/// `Bucket` holds the tokens of one caller.
#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// The micro-tokens saved up and outstanding.
    level: u64,
    updated: Millis,
    receivers: Receivers,
}

impl Issuer {
    /// `new` returns an issuer for which no token is outstanding. Tokens of an earlier one may be in
    /// use until they expire. `id` identifies the issuer and is not 0.
    pub fn new(options: CreditOptions, id: u64, now: Millis) -> Self {
        Self {
            options,
            id,
            started: now,
            senders: Senders::default(),
            buckets: HashMap::new(),
        }
    }

    /// `handle` records the report of a request and grants what the buckets have. `quota_of` returns
    /// the quota of a configured caller.
    ///
    /// Returns `None` for a request that was superseded before it arrived.
    pub fn handle(
        &mut self,
        now: Millis,
        req: &CreditRequest,
        quota_of: impl Fn(u64) -> Option<Quota>,
    ) -> Option<CreditReply> {
        if !self.senders.accept(now, req.sender, req.number) {
            return None;
        }
        let grants = req.asks.iter().filter_map(|ask| {
            let grant = match quota_of(ask.caller) {
                Some(quota) if quota.limited_rate().is_some() => self.grant(now, req, ask, quota),
                Some(_) => granted(ask, ask.needed, ask.wanted),
                None => CreditGrant {
                    denied_ms: UNKNOWN_CALLER_MS,
                    ..granted(ask, 0, 0)
                },
            };
            (grant.tokens > 0 || grant.denied_ms > 0).then_some(grant)
        });
        let grants = grants.collect();
        Some(CreditReply {
            granter: self.id,
            number: req.number,
            grants,
        })
    }

    /// `drop_idle` drops the buckets that are full and have nothing outstanding.
    pub fn drop_idle(&mut self, now: Millis) {
        let (options, started) = (&self.options, self.started);
        self.buckets.retain(|_, b| {
            b.update(now, options, started);
            let full = b.level >= options.capacity(&b.quota);
            !full || b.receivers.outstanding() > 0 || !b.receivers.is_empty()
        });
        self.senders.drop_idle(now);
    }

    /// `callers` returns the number of callers with a bucket.
    pub fn callers(&self) -> usize {
        self.buckets.len()
    }

    fn grant(
        &mut self,
        now: Millis,
        req: &CreditRequest,
        ask: &CreditAsk,
        quota: Quota,
    ) -> CreditGrant {
        let (options, started) = (&self.options, self.started);
        let bucket = self
            .buckets
            .entry(ask.caller)
            .or_insert_with(|| Bucket::new(quota, now, options, started));
        bucket.update(now, options, started);
        bucket.quota = quota;
        let used = bucket
            .receivers
            .report(now, req, ask, req.granter == self.id);
        bucket.consume(used);
        let capacity = options.capacity(&quota);
        bucket.level = bucket.level.min(capacity);
        let free = bucket.free();
        let for_need = ask.needed.min(free);
        // The requests that wait use their tokens at once. To count them as used only when that is
        // reported would keep the bucket from gaining tokens meanwhile.
        bucket.consume(for_need);
        let in_advance = ask
            .wanted
            .min(bucket.free_in_advance(now, capacity, started));
        if in_advance > 0 {
            let expires = now + TIME_TO_LIVE;
            bucket.receivers.add(req.sender, in_advance, expires);
        }
        CreditGrant {
            denied_ms: match for_need < ask.needed {
                true => bucket.ms_until_token(options),
                false => 0,
            },
            ..granted(ask, for_need, in_advance)
        }
    }
}

impl Bucket {
    // A bucket that was dropped was full, and so is one that is missing. For a new issuer, see
    // `update`.
    fn new(quota: Quota, now: Millis, options: &CreditOptions, started: Millis) -> Self {
        let mut bucket = Self {
            quota,
            level: options.takeover(&quota),
            updated: started,
            receivers: Receivers::default(),
        };
        bucket.update(now, options, started);
        bucket
    }

    // While tokens of an earlier issuer may be in use, they may be a whole capacity, so only the
    // reserve for a takeover is saved up. One window after they have expired, no window contains
    // requests of both issuers, and the bucket is full as that of a caller without recent requests.
    fn update(&mut self, now: Millis, options: &CreditOptions, started: Millis) {
        let lost = self.receivers.expire(now);
        self.consume(lost);
        let expired = started + TIME_TO_LIVE;
        let full_at = expired + options.window;
        let capacity = options.capacity(&self.quota);
        if self.updated < expired {
            let until = now.min(expired);
            let gained = options.gain(&self.quota, until.saturating_since(self.updated));
            let outstanding = u64::from(self.receivers.outstanding()) * MICROS;
            let limit = outstanding + options.takeover(&self.quota).max(MICROS);
            self.level = (self.level + gained).min(limit.max(self.level));
            self.updated = until;
        }
        let gained = options.gain(&self.quota, now.saturating_since(self.updated));
        self.level = match self.updated < full_at && now >= full_at {
            true => capacity,
            false => (self.level + gained).min(capacity),
        };
        self.updated = now;
    }

    fn consume(&mut self, tokens: u32) {
        self.level = self.level.saturating_sub(u64::from(tokens) * MICROS);
    }

    fn free(&self) -> u32 {
        let outstanding = u64::from(self.receivers.outstanding());
        let free = (self.level / MICROS).saturating_sub(outstanding);
        u32::try_from(free).unwrap_or(u32::MAX)
    }

    // Returns the tokens that may be granted for expected requests. A quarter of the capacity stays
    // for requests that wait elsewhere. Under a new issuer there are none: tokens that are used at
    // once add nothing to those saved up.
    fn free_in_advance(&self, now: Millis, capacity: u64, started: Millis) -> u32 {
        if now < started + TIME_TO_LIVE {
            return 0;
        }
        let kept = u32::try_from(capacity / MICROS / 4).unwrap_or(u32::MAX);
        self.free().saturating_sub(kept).div_ceil(2)
    }

    fn ms_until_token(&self, options: &CreditOptions) -> u32 {
        let next = (u64::from(self.receivers.outstanding()) + 1) * MICROS;
        let missing = next.saturating_sub(self.level);
        let gain_per_ms = options.gain(&self.quota, Duration::from_millis(1));
        let ms = missing.div_ceil(gain_per_ms.max(1));
        ms.clamp(1, DENIED_MAX_MS) as u32
    }
}

fn granted(ask: &CreditAsk, settled: u32, in_advance: u32) -> CreditGrant {
    CreditGrant {
        caller: ask.caller,
        tokens: settled + in_advance,
        settled,
        ttl_ms: TIME_TO_LIVE.as_millis() as u16,
        denied_ms: 0,
    }
}
