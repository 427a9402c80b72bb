//! Callers in the configuration.

use serde::{Deserialize, Serialize};

use crate::class::Class;
use crate::config::{ApiKey, Quota};

/// `Caller` sets the class and the limits for the requests of one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Caller {
    /// The class of the caller's requests.
    pub class: Class,
    /// The requests per second that one node accepts from the caller; `None` for no limit.
    pub requests_per_s: Option<u32>,
    /// The requests of the caller that one node runs concurrently; `None` for no limit.
    pub concurrent: Option<u32>,
    /// The keys that identify the caller, if the configuration requires keys.
    #[serde(default)]
    pub keys: Vec<ApiKey>,
    /// The priority of the caller's requests within their class, which replaces that of the route.
    #[serde(default)]
    pub rank: Option<u8>,
    /// The bound of the caller's requests over all nodes together.
    #[serde(default)]
    pub quota: Option<Quota>,
}
