//! Parameters of notices.

use std::time::Duration;

/// `NoticeOptions` holds the times and the bounds of the notices of one gate.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeOptions {
    /// The time after which a notice of an unusual condition is repeated in the region. It is
    /// shorter than the age up to which the pick uses a reported load.
    pub repeat_interval: Duration,
    /// The time for which a backend server must have had a free slot before it is no longer
    /// reported as full, unless a quarter of its slots is free.
    pub full_hold: Duration,
    /// The minimum time between two notices about a backend server to other regions.
    pub far_interval: Duration,
    /// The most nodes of the own region that are informed.
    pub max_near: usize,
    /// The most nodes of other regions that are informed. 1 KB between regions costs about a tenth
    /// of a request.
    pub max_far: usize,
    /// The nodes that are asked for a trial at a time. The others learn that none is wanted from
    /// them, because only the first trial is admitted.
    pub max_invited: usize,
    /// The time for which a node counts as a sender after an attempt.
    pub sender_age: Duration,
}

impl Default for NoticeOptions {
    fn default() -> Self {
        Self {
            repeat_interval: Duration::from_millis(800),
            full_hold: Duration::from_millis(300),
            far_interval: Duration::from_millis(500),
            max_near: 48,
            max_far: 48,
            max_invited: 2,
            sender_age: Duration::from_secs(30),
        }
    }
}
