//! Errors of [`crate::Replica::try_new`].

use std::time::Duration;

use shallothill_core::ids::KeeperId;
use snafu::Snafu;

/// `Error` describes options that no replica can be built from.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// `create_group` is set, but the members do not include this replica.
    #[snafu(display("keeper {me} is not among the members; add it to `keepers` in the settings"))]
    NotAMember {
        /// This replica.
        me: KeeperId,
    },
    /// The number of members is not in the range 1 to 9.
    #[snafu(display("a group of {count} members is not possible; list 1 to 9 `keepers`"))]
    GroupSize {
        /// The number of members given.
        count: usize,
    },
    /// The heartbeat or the lease is not shorter than the election timeout.
    #[snafu(display(
        "the heartbeat ({heartbeat:?}) and the lease ({lease:?}) must be shorter than the election \
         timeout ({election_timeout:?}); correct the options"
    ))]
    Timing {
        /// The interval between heartbeats.
        heartbeat: Duration,
        /// The duration of the read lease.
        lease: Duration,
        /// The shortest election timeout.
        election_timeout: Duration,
    },
}

/// `Result` is the result of a function that fails with [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
