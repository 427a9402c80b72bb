//! A route of the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::Class;
use crate::ids::ServiceName;

/// `Route` maps requests to a service by method and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The service that serves the route.
    pub service: ServiceName,
    /// The accepted HTTP methods, in upper case.
    pub methods: Vec<String>,
    /// The prefix that a path must start with, at a `/` boundary; the longest prefix wins.
    pub path: String,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// The class of requests whose caller has none; `Internal` for lookups between services.
    pub class: Class,
    /// Time allowed for a request that brings no shorter deadline.
    pub deadline: Duration,
    /// The largest accepted request body in bytes.
    pub max_body_bytes: u64,
}
