//! A caller of the configuration.

use serde::{Deserialize, Serialize};

use crate::class::Class;

/// `Caller` is a customer whose requests are classified and limited.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Caller {
    /// The class of the caller's requests.
    pub class: Class,
    /// Requests a second that one node accepts from the caller, if limited.
    pub requests_per_s: Option<u32>,
    /// Requests of the caller that one node runs at a time, if limited.
    pub concurrent: Option<u32>,
}
