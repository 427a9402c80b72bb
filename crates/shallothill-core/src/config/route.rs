//! A route of the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::Class;
use crate::config::{OncePer, Target};

/// `Route` maps requests to services by host, method and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Where the requests go.
    pub target: Target,
    /// The host that the caller asks for, in lower case; `None` accepts every host for which no
    /// other route is found.
    pub host: Option<String>,
    /// The accepted HTTP methods, in upper case; an empty list accepts all.
    pub methods: Vec<String>,
    /// The prefix that a path must start with, at a `/` boundary; the longest prefix wins.
    pub path: String,
    /// Whether only paths with a `/` after the prefix match.
    pub below: bool,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Over which sends a non-idempotent request runs at most once.
    pub once_per: OncePer,
    /// The class of requests whose caller has none; `Internal` for lookups between services.
    pub class: Class,
    /// The rank within the class; 0 is served first.
    pub rank: u8,
    /// Time allowed for a request that brings no shorter deadline.
    pub deadline: Duration,
    /// Time within which an answer is of full use to the caller, if the operator gave one.
    pub objective: Option<Duration>,
    /// Backend servers that one request may be sent to, in place of the service's number.
    pub attempts: Option<u8>,
    /// The largest accepted request body in bytes.
    pub max_body_bytes: u64,
}
