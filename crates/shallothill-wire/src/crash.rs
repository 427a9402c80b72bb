//! Requests that were in flight when their backend server crashed.

use serde::{Deserialize, Serialize};
use shallothill_core::hash::Fingerprint;
use shallothill_core::ids::EndpointId;

/// `CrashNotice` tells that a request may have crashed a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The backend server that crashed while it ran the request.
    pub endpoint: EndpointId,
    /// A number of the crash that is unique for the endpoint, so that repeats count once.
    pub crash: u64,
    /// Time since the crash in milliseconds.
    pub age_ms: u64,
}
