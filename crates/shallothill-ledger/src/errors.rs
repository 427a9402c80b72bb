//! Errors of the ledger.

use shallothill_core::ids::KeeperId;
use snafu::Snafu;

/// `Error` is what building or restoring a ledger member fails with.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The member is missing from its own group.
    #[snafu(display(
        "keeper {me} is not in its ledger group; add it to `ledger_group` in the settings"
    ))]
    NotInGroup {
        /// This keeper.
        me: KeeperId,
    },
}

/// `Result` is the result of the ledger's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;
