//! Errors of the core types.

use snafu::Snafu;

/// `Error` is the reason for which a constructor of a core type rejects its input.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A name is empty, too long or contains a character that is not allowed.
    #[snafu(display(
        "the {kind} name `{name}` is not valid; use 1 to 64 letters, digits, `-`, `_` or `.`"
    ))]
    InvalidName {
        /// What the name identifies, such as `service`.
        kind: &'static str,
        /// The rejected text.
        name: String,
    },
    /// An idempotency key does not have the required form.
    #[snafu(display(
        "the idempotency key `{key}` is not valid; send a UUIDv7, or `<region>.<UUIDv7>`"
    ))]
    InvalidKey {
        /// The rejected text.
        key: String,
    },
    /// A key of a caller does not have the required form; the message does not show it.
    #[snafu(display("the key is not valid; use 1 to 256 visible ASCII characters"))]
    InvalidApiKey,
    /// An idempotency key starts with a region that is not configured.
    #[snafu(display(
        "the idempotency key names the unknown region `{region}`; use one of: {known}"
    ))]
    UnknownRegion {
        /// The rejected region.
        region: String,
        /// The configured regions, comma separated.
        known: String,
    },
    /// A text is not one of the values of an enumeration.
    #[snafu(display("`{value}` is not a valid {kind}; use one of: {accepted}"))]
    InvalidValue {
        /// What the value specifies, such as `class`.
        kind: &'static str,
        /// The rejected text.
        value: String,
        /// The accepted values, comma separated.
        accepted: &'static str,
    },
}

/// `Result` is the result of a constructor of a core type.
pub type Result<T, E = Error> = std::result::Result<T, E>;
