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

/// `Fingerprint` identifies a request across nodes and resends; see [`RequestIdentity`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// `RequestIdentity` holds what a resend of a request has in common with it, and no other request
/// has in full.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that selected the route, empty for a route of all hosts. Callers of such a route may
    /// send a request again to another address.
    pub host: &'a str,
    /// The path with its query.
    pub path_and_query: &'a str,
    /// The name that the caller gives itself, empty without one.
    pub caller: &'a [u8],
    /// The service on the host where the request began, empty where it is not known.
    pub origin: &'a [u8],
    /// The body, or the start of one that is streamed.
    pub body: &'a [u8],
    /// The announced length of a body that is streamed, in bytes.
    pub streamed_bytes: Option<u64>,
}

impl RequestIdentity<'_> {
    /// `fingerprint` hashes the identity.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut h = xxh3::Xxh3::new();
        let streamed_bytes = self.streamed_bytes.map(u64::to_le_bytes);
        let parts = [
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.path_and_query.as_bytes(),
            self.caller,
            self.origin,
            self.body,
            streamed_bytes.as_ref().map_or(&[], <[u8; 8]>::as_slice),
        ];
        for part in parts {
            h.update(&(part.len() as u64).to_le_bytes());
            h.update(part);
        }
        Fingerprint(h.digest())
    }
}
