//! Secrets with which callers identify themselves.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::errors;

/// `KEY_MAX_BYTES` is the length in bytes of the longest accepted key.
pub const KEY_MAX_BYTES: usize = 256;

/// `ApiKey` is a secret with which a caller identifies itself. Its `Debug` form hides the secret, so
/// that no log or dump shows it.
#[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// `try_new` fails with `InvalidApiKey` for 0 or more than 256 bytes, or a character other than
    /// visible ASCII, which a header cannot carry. The error does not contain the key.
    pub fn try_new(key: &str) -> errors::Result<Self> {
        let valid_length = !key.is_empty() && key.len() <= KEY_MAX_BYTES;
        if valid_length && key.bytes().all(|b| b.is_ascii_graphic()) {
            return Ok(Self(Arc::from(key)));
        }
        errors::InvalidApiKeySnafu.fail()
    }

    /// `expose_secret` returns the key itself, for the configuration text and comparisons.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

// Lets maps by key be searched for the text of a header.
impl std::borrow::Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for ApiKey {
    type Error = errors::Error;

    fn try_from(key: String) -> errors::Result<Self> {
        Self::try_new(&key)
    }
}

impl From<ApiKey> for String {
    fn from(key: ApiKey) -> Self {
        key.0.as_ref().to_owned()
    }
}
