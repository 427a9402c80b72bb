//! Notices of requests that were in flight when their backend server crashed.

use serde::{Deserialize, Serialize};
use shallothill_core::hash::Fingerprint;
use shallothill_core::ids::EndpointId;

/// `CrashNotice` reports that a request may have crashed a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// The fingerprint of the request, the same for all its resends.
    pub fingerprint: Fingerprint,
    /// The backend server that crashed while it ran the request.
    pub endpoint: EndpointId,
    /// An id of the crash, unique for the endpoint, so that repeated notices are counted once.
    pub crash: u64,
    /// Time since the crash in milliseconds.
    pub age_ms: u64,
}
