//! The limits of one connection of a caller or node.

use std::time::Duration;

use shallothill_core::config::Limits;

use crate::settings::Bounds;

/// `ConnectionLimits` bounds the time that requests and pauses on a connection take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConnectionLimits {
    /// Time in which the headers of a request must arrive, from their first byte.
    pub(crate) header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub(crate) idle_timeout: Duration,
}

impl ConnectionLimits {
    /// `new` takes the limits of the configuration, and those of the process where it sets none.
    pub(crate) fn new(limits: Option<Limits>, bounds: &Bounds) -> Self {
        Self {
            header_timeout: limits.map_or(bounds.header_timeout(), |l| l.header_timeout),
            idle_timeout: limits.map_or(bounds.idle_timeout(), |l| l.idle_timeout),
        }
    }
}
