//! Routes in the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::Class;
use crate::config::{BodyMode, Limits, OncePer, Target};

/// `Route` maps requests to services by host, method and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The service, or the services, that the requests go to.
    pub target: Target,
    /// The requested host, which matches in any letter case; `None` matches any host for which no
    /// other route is found.
    pub host: Option<String>,
    /// The accepted HTTP methods, in upper case; an empty list accepts all.
    pub methods: Vec<String>,
    /// The prefix of matching paths, which must end at a `/` boundary; the longest prefix wins.
    pub path: String,
    /// Whether only paths below the prefix match: those with a `/` after it.
    pub below: bool,
    /// Whether a request may safely be executed more than once.
    pub idempotent: bool,
    /// The scope within which a non-idempotent request is executed at most once.
    pub once_per: OncePer,
    /// The class of requests whose caller has none; `Internal` for requests between services.
    pub class: Class,
    /// The priority within the class; 0 is served first, and `None` is 0.
    pub rank: Option<u8>,
    /// The deadline of a request that does not carry a shorter one.
    pub deadline: Duration,
    /// The target latency, if the operator set one; a later response is of less use to the caller.
    pub objective: Option<Duration>,
    /// The number of backend servers that one request may be sent to; replaces `max_attempts` of
    /// the service.
    pub attempts: Option<u8>,
    /// The largest accepted request body in bytes.
    pub max_body_bytes: u64,
    /// Whether request bodies are large and may be passed on as they arrive.
    #[serde(default)]
    pub body: BodyMode,
    /// Whether requests need no key where the configuration requires keys; `None` is false.
    #[serde(default)]
    pub public: Option<bool>,
}

impl Route {
    /// `effective` returns the route as nodes act on it: with its defaults, the host in lower case and
    /// bodies within `limits`.
    pub fn effective(&self, limits: Option<&Limits>) -> Self {
        let max_body_bytes = limits.map_or(u64::MAX, |l| l.body_bytes);
        Self {
            max_body_bytes: self.max_body_bytes.min(max_body_bytes),
            host: self.host.as_ref().map(|h| h.to_ascii_lowercase()),
            rank: Some(self.rank.unwrap_or_default()),
            public: Some(self.public.unwrap_or_default()),
            ..self.clone()
        }
    }
}
