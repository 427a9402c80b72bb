//! The start of a backend server's process, which tells it from earlier and later ones.

use std::num::NonZeroU64;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallothill_core::time::UnixMillis;

/// `MAX_CLOCK_SKEW` is how far in the future an announced start time may lie, since the clocks of
/// the host and of the backend server may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// `StartTime` is when a process of a backend server started, in milliseconds since 1970. It is
/// never 0, so a start that is not stated cannot be taken for the earliest one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StartTime(NonZeroU64);

impl StartTime {
    /// `new` returns the start at `ms` milliseconds since 1970; `None` for 0.
    pub fn new(ms: u64) -> Option<Self> {
        NonZeroU64::new(ms).map(Self)
    }

    /// `as_millis` returns the milliseconds since 1970.
    pub fn as_millis(self) -> u64 {
        self.0.get()
    }

    /// `is_plausible` tells whether a process that runs at `now` can have started at this time.
    pub(super) fn is_plausible(self, now: UnixMillis) -> bool {
        let ahead = u64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap_or(u64::MAX);
        self.as_millis() <= now.0.saturating_add(ahead)
    }
}

/// `AnnouncementOrder` orders the announcements of one backend server: first by the start of its
/// process, then by their sequence numbers. An announcement without a start precedes all others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct AnnouncementOrder {
    pub(crate) start: Option<StartTime>,
    pub(crate) sequence: u64,
}
