//! The last request of each sender.

use std::collections::HashMap;
use std::time::Duration;

use shallothill_core::time::Millis;

/// `FORGET_AFTER` is longer than any request can be delayed on a connection.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// `Senders` tells new requests from superseded ones that arrive late.
#[derive(Debug, Default)]
pub(super) struct Senders {
    last: HashMap<u64, (u64, Millis)>,
}

impl Senders {
    /// `accept` records the request `number` of `sender`; false if a later one was recorded before.
    pub(super) fn accept(&mut self, now: Millis, sender: u64, number: u64) -> bool {
        let (last, seen) = self.last.entry(sender).or_default();
        if number <= *last {
            return false;
        }
        (*last, *seen) = (number, now);
        true
    }

    /// `drop_idle` drops the senders that have been silent for a minute.
    pub(super) fn drop_idle(&mut self, now: Millis) {
        self.last
            .retain(|_, (_, seen)| now.saturating_since(*seen) < FORGET_AFTER);
    }
}
