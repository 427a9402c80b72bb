//! Errors of this crate. Faults in a configuration text are reported as `Fault` instead.

use snafu::Snafu;

/// `Error` tells why a patch cannot be applied.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The patch was computed for a different base text.
    #[snafu(display(
        "the patch keeps {kept_prefix} + {kept_suffix} bytes, which do not fit a base text of \
         {base} bytes; apply it to the text of its base version"
    ))]
    PatchMismatch {
        /// Bytes that the patch keeps from the start of the base text.
        kept_prefix: u64,
        /// Bytes that the patch keeps from the end of the base text.
        kept_suffix: u64,
        /// Size of the base text in bytes.
        base: u64,
    },
}

/// `Result` has this crate's [`enum@Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;
