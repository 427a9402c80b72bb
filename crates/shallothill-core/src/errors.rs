//! Errors of the core types.

use snafu::Snafu;

/// `Error` is what the constructors of the core types return for input that they refuse.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A name is empty, too long or holds a character that names may not hold.
    #[snafu(display(
        "the {kind} name `{name}` is not valid; use 1 to 64 letters, digits, `-`, `_` or `.`"
    ))]
    InvalidName {
        /// What the name was for, such as `service`.
        kind: &'static str,
        /// The refused text.
        name: String,
    },
    /// An idempotency key does not have the required form.
    #[snafu(display(
        "the idempotency key `{key}` is not valid; send a UUIDv7, or `<region>.<UUIDv7>`"
    ))]
    InvalidKey {
        /// The refused text.
        key: String,
    },
    /// An idempotency key names a region that does not exist.
    #[snafu(display(
        "the idempotency key names the unknown region `{region}`; use one of: {known}"
    ))]
    UnknownRegion {
        /// The refused region.
        region: String,
        /// The known regions, comma separated.
        known: String,
    },
    /// A text is none of the values that an enumeration accepts.
    #[snafu(display("`{value}` is not a valid {kind}; use one of: {accepted}"))]
    InvalidValue {
        /// What the value was for.
        kind: &'static str,
        /// The refused text.
        value: String,
        /// The accepted values, comma separated.
        accepted: &'static str,
    },
}

/// `Result` is the result of the core types' constructors.
pub type Result<T, E = Error> = std::result::Result<T, E>;
