//! The tokens of one caller that are out with receivers.

use std::collections::HashMap;

use shallothill_core::time::Millis;

use super::messages::{CreditAsk, CreditRequest};
use super::options::REPORT_GRACE;

/// `ReceiverState` records what one receiver has.
#[derive(Debug, Default)]
struct ReceiverState {
    outstanding: u32,
    /// When the last of the tokens expires.
    expires: Millis,
    /// The part of the receiver's `used` that is counted already, and the request that counted it.
    counted: u32,
    counted_in: u64,
}

/// `Receivers` records the tokens that receivers hold or have used and not reported yet.
#[derive(Debug, Default)]
pub(super) struct Receivers {
    receipts: HashMap<u64, ReceiverState>,
    /// Tokens of receivers that no longer report them, with the time of their expiry.
    lost: Vec<(Millis, u32)>,
    outstanding: u32,
    /// The earliest time at which [`Self::expire`] has work.
    next_expiry: Option<Millis>,
}

impl Receivers {
    /// `outstanding` returns the tokens that receivers hold or have used and not reported.
    pub(super) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// `is_empty` tells whether no receiver has state.
    pub(super) fn is_empty(&self) -> bool {
        self.receipts.is_empty() && self.lost.is_empty()
    }

    /// `report` records what a receiver reports and returns the number of tokens newly known as used.
    ///
    /// A receiver has applied or dropped every reply to its earlier requests, so it holds just what
    /// it says; tokens of a lost reply return with that. `own` is false for a report of tokens of
    /// another granter.
    pub(super) fn report(
        &mut self,
        now: Millis,
        req: &CreditRequest,
        ask: &CreditAsk,
        own: bool,
    ) -> u32 {
        if !own {
            // The receiver no longer reports what it got from this granter before.
            let former = self.receipts.remove(&req.sender);
            let former = former.filter(|r| r.outstanding > 0);
            self.lost.extend(former.map(|r| (r.expires, r.outstanding)));
            return 0;
        }
        self.expire_at(now);
        let receipt = self.receipts.entry(req.sender).or_default();
        receipt.expires = receipt.expires.max(now);
        if req.acknowledged >= receipt.counted_in {
            receipt.counted = 0;
        }
        let newly_used = ask.used.saturating_sub(receipt.counted);
        receipt.counted = receipt.counted.max(ask.used);
        receipt.counted_in = req.number;
        self.outstanding = self.outstanding - receipt.outstanding + ask.held;
        receipt.outstanding = ask.held;
        newly_used
    }

    /// `add` records tokens that are granted to a receiver.
    pub(super) fn add(&mut self, sender: u64, tokens: u32, expires: Millis) {
        let receipt = self.receipts.entry(sender).or_default();
        receipt.outstanding += tokens;
        receipt.expires = receipt.expires.max(expires);
        self.outstanding += tokens;
        self.expire_at(expires);
    }

    fn expire_at(&mut self, expires: Millis) {
        let due = expires + REPORT_GRACE;
        self.next_expiry = Some(self.next_expiry.map_or(due, |next| next.min(due)));
    }

    /// `expire` drops receivers whose tokens have expired and returns the tokens that were not
    /// reported. They may have been used.
    pub(super) fn expire(&mut self, now: Millis) -> u32 {
        if self.next_expiry.is_none_or(|next| now < next) {
            return 0;
        }
        let due = |expires: Millis| now >= expires + REPORT_GRACE;
        let mut unreported = 0;
        self.receipts.retain(|_, r| {
            let keep = !due(r.expires);
            unreported += if keep { 0 } else { r.outstanding };
            keep
        });
        self.lost.retain(|(expires, tokens)| {
            let keep = !due(*expires);
            unreported += if keep { 0 } else { *tokens };
            keep
        });
        self.outstanding -= unreported;
        let receipts = self.receipts.values().map(|r| r.expires);
        let left = receipts.chain(self.lost.iter().map(|(expires, _)| *expires));
        self.next_expiry = left.min().map(|expires| expires + REPORT_GRACE);
        unreported
    }
}
