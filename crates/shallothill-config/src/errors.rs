//! Errors of this crate other than faults of a text.

use snafu::Snafu;

/// `Error` is why a patch cannot be applied.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The patch was made for another text.
    #[snafu(display(
        "the patch keeps {kept_prefix} + {kept_suffix} bytes, which do not fit a base text of \
         {base} bytes; apply it to the text of its base version"
    ))]
    PatchMismatch {
        /// Bytes kept from the start.
        kept_prefix: u64,
        /// Bytes kept from the end.
        kept_suffix: u64,
        /// Size of the base text in bytes.
        base: u64,
    },
}

/// `Result` is the result of applying a patch.
pub type Result<T, E = Error> = std::result::Result<T, E>;
