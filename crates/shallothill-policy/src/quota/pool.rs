//! The tokens of one caller at a holder, and its demand.

use std::collections::VecDeque;
use std::time::Duration;

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;

use super::options::{HolderOptions, TIME_TO_LIVE};

/// `SEEN_FOR` is the time without a request after which a caller is not active any more.
const SEEN_FOR: Duration = Duration::from_secs(3);

/// `KEPT_AT_LEAST` is the time for which new tokens stay at a holder with little demand. The nodes of
/// a relay fetch in this time what they wanted before.
const KEPT_AT_LEAST: Duration = Duration::from_secs(1);

/// `DEMAND_TIME_S` is the time constant of the demand estimate. It spans a few requests to the
/// granter, so that one burst does not draw the tokens of other nodes.
const DEMAND_TIME_S: f64 = 1.5;

/// `Token` admits one request. It can be put back if the request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Token {
    pub(super) caller: u64,
    pub(super) quota: Quota,
    pub(super) expires: Millis,
}

/// `Pool` holds the tokens of one caller.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) quota: Quota,
    lots: VecDeque<(Millis, u32)>,
    /// The tokens that a relay has passed on.
    pub(super) lent: u32,
    pub(super) used: u32,
    pub(super) used_sent: u32,
    /// The tokens, local or lent, that the granter or an earlier one counts as used. They are used
    /// first and not reported.
    pub(super) settled: u32,
    pub(super) held_known: u32,
    /// The requests that wait for a token.
    pub(super) waiting: u32,
    /// The tokens that receivers want and did not get.
    pub(super) unmet: u32,
    /// Until when the last denial is answered without a new request.
    pub(super) denied_until: Millis,
    /// When there is credit again according to the last denial.
    pub(super) credit_at: Millis,
    demand: f64,
    taken: u32,
    measured: Millis,
    pub(super) seen: Millis,
    counted: bool,
    /// Whether two requests came within [`SEEN_FOR`].
    repeated: bool,
}

impl Pool {
    pub(super) fn new(now: Millis, quota: Quota) -> Self {
        Self {
            quota,
            lots: VecDeque::new(),
            lent: 0,
            used: 0,
            used_sent: 0,
            settled: 0,
            held_known: 0,
            waiting: 0,
            unmet: 0,
            denied_until: Millis(0),
            credit_at: Millis(0),
            demand: 0.0,
            taken: 0,
            measured: now,
            seen: now,
            counted: false,
            repeated: false,
        }
    }

    /// `set_quota` drops the tokens that were granted under another quota.
    pub(super) fn set_quota(&mut self, quota: Quota) {
        if self.quota != quota {
            self.quota = quota;
            self.lots.clear();
            self.denied_until = Millis(0);
        }
    }

    /// `local` returns the tokens that have not expired.
    pub(super) fn local(&mut self, now: Millis) -> u32 {
        while self.lots.front().is_some_and(|(at, _)| *at <= now) {
            self.lots.pop_front();
        }
        self.lots.iter().map(|(_, n)| n).sum()
    }

    /// `pop` removes the token that expires first and returns its expiry.
    pub(super) fn pop(&mut self, now: Millis) -> Option<Millis> {
        while let Some((expires, n)) = self.lots.front_mut() {
            if *expires <= now || *n == 0 {
                self.lots.pop_front();
                continue;
            }
            *n -= 1;
            return Some(*expires);
        }
        None
    }

    /// `push` adds tokens and keeps the lots in the order of their expiry.
    pub(super) fn push(&mut self, tokens: u32, expires: Millis) {
        let at = self.lots.partition_point(|(e, _)| *e <= expires);
        self.lots.insert(at, (expires, tokens));
    }

    /// `count_used` records tokens that were used.
    pub(super) fn count_used(&mut self, tokens: u32) {
        let settled = tokens.min(self.settled);
        self.settled -= settled;
        self.used += tokens - settled;
    }

    /// `count_demand` records requests for tokens.
    pub(super) fn count_demand(&mut self, now: Millis, requests: u32) {
        self.taken = self.taken.saturating_add(requests);
        if requests > 0 {
            self.repeated = self.counted && self.is_recent(now);
            self.counted = true;
            self.seen = now;
        }
    }

    pub(super) fn is_recent(&self, now: Millis) -> bool {
        now.saturating_since(self.seen) < SEEN_FOR
    }

    /// `target` returns the tokens to keep. It measures the demand since the last call.
    pub(super) fn target(&mut self, now: Millis, options: &HolderOptions) -> u32 {
        let elapsed = now.saturating_since(self.measured).as_secs_f64();
        if elapsed > 0.0 {
            let weight = 1.0 - (-elapsed / DEMAND_TIME_S).exp();
            let recent = f64::from(self.taken) / elapsed;
            self.demand += weight * (recent - self.demand);
            (self.taken, self.measured) = (0, now);
        }
        if !self.is_recent(now) {
            return 0;
        }
        let expected = self.demand * options.horizon.as_secs_f64();
        match self.repeated {
            true => (expected.ceil() as u32).max(options.reserve),
            // A single request tells little, and with many callers their reserves cost most of the
            // messages.
            false => 0,
        }
    }

    /// `trim` drops the local tokens beyond `target`, except new ones; they return with the next
    /// report.
    pub(super) fn trim(&mut self, now: Millis, target: u32) {
        let mut surplus = self.local(now).saturating_sub(target);
        while let Some((expires, n)) = self.lots.front_mut()
            && surplus > 0
            && *expires + KEPT_AT_LEAST < now + TIME_TO_LIVE
        {
            let dropped = surplus.min(*n);
            *n -= dropped;
            surplus -= dropped;
            if *n == 0 {
                self.lots.pop_front();
            }
        }
    }

    /// `denial` returns the time until there is credit, if the granter denied it lately.
    pub(super) fn denial(&self, now: Millis) -> Option<Duration> {
        let wait = self.credit_at.saturating_since(now);
        (now < self.denied_until).then_some(wait.max(Duration::from_millis(1)))
    }

    /// `held` returns the tokens of the present granter, local or lent.
    pub(super) fn held(&mut self, now: Millis) -> u32 {
        let all = self.local(now) + self.lent;
        self.settled = self.settled.min(all);
        all - self.settled
    }

    /// `change_granter` makes all tokens those of an earlier granter, which counts them as used.
    pub(super) fn change_granter(&mut self, now: Millis) {
        self.settled = self.local(now) + self.lent;
        (self.used, self.used_sent, self.held_known) = (0, 0, 0);
    }
}
