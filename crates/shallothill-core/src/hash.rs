//! Hashes that are equal in all processes and releases.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// `ContentHash` is a 128-bit xxh3 hash, with the high 64 bits first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ContentHash(pub u64, pub u64);

impl ContentHash {
    /// `of` hashes `content`.
    pub fn of(content: &[u8]) -> Self {
        let h = xxh3::xxh3_128(content);
        Self((h >> 64) as u64, h as u64)
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// `hash64` returns the 64-bit xxh3 hash of `content`, for example to choose a bucket or a region.
pub fn hash64(content: &[u8]) -> u64 {
    xxh3::xxh3_64(content)
}

/// `Fingerprint` identifies a request across nodes and resends; see [`fingerprint`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// `fingerprint` hashes the method, the path with its query, and the first bytes of the body. Two
/// requests with the same fingerprint are taken for resends of one request.
pub fn fingerprint(method: &str, path_and_query: &str, body_prefix: &[u8]) -> Fingerprint {
    let mut h = xxh3::Xxh3::new();
    for part in [method.as_bytes(), path_and_query.as_bytes(), body_prefix] {
        h.update(&(part.len() as u64).to_le_bytes());
        h.update(part);
    }
    Fingerprint(h.digest())
}
