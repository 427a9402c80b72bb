//! Errors of the ledger.

use shallothill_core::ids::KeeperId;
use snafu::Snafu;

/// `Error` lists the failures of building a ledger member.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The group that the settings give the keeper does not list the keeper itself.
    #[snafu(display(
        "keeper {me} is not in the ledger group of its region; add it to `keepers` in the settings"
    ))]
    NotInGroup {
        /// The keeper that runs the member.
        me: KeeperId,
    },
}

/// `Result` is the result of the ledger's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;
