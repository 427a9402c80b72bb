//! Errors of building a replica.

use std::time::Duration;

use shallothill_core::ids::KeeperId;
use snafu::Snafu;

/// `Error` is what building a replica fails with.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A new group is to be created without this replica.
    #[snafu(display("keeper {me} is not among the members; add it to `keepers` in the settings"))]
    NotAMember {
        /// This replica.
        me: KeeperId,
    },
    /// The number of members is out of range.
    #[snafu(display("a group of {count} members is not possible; list 1 to 9 `keepers`"))]
    GroupSize {
        /// The number of members given.
        count: usize,
    },
    /// The times of the options do not fit together.
    #[snafu(display(
        "the heartbeat ({heartbeat:?}) and the lease ({lease:?}) must be shorter than the election \
         timeout ({election_timeout:?}); correct the options"
    ))]
    Timing {
        /// The heartbeat.
        heartbeat: Duration,
        /// The lease.
        lease: Duration,
        /// The election timeout.
        election_timeout: Duration,
    },
}

/// `Result` is the result of building a replica.
pub type Result<T, E = Error> = std::result::Result<T, E>;
