//! Attempts and their replies, as entry nodes and gates exchange them.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Response};
use shallothill_core::class::Class;
use shallothill_core::config::{BodyMode, OncePer};
use shallothill_core::hash::Fingerprint;
use shallothill_core::headers;
use shallothill_core::health::ServingState;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{CallerName, EndpointId, RouteName, ServiceName};
use shallothill_core::outcome::Outcome;
use shallothill_policy::gray::Caution;
use shallothill_policy::pick::ReportedLoad;
use tokio::time::Instant;

use crate::body::Body;
use crate::gate::CallShortage;
use crate::header_filter;
use crate::reply_by::ReplyBy;

/// `RequestHead` contains what all attempts of a request have in common, except the body.
#[derive(Debug)]
pub struct RequestHead {
    /// The HTTP method.
    pub method: Method,
    /// The path and query that the backend server receives.
    pub path: PathAndQuery,
    /// The `Host` header of the caller; without it the backend server's address is sent.
    pub host: Option<HeaderValue>,
    /// The headers that are passed on to the backend server.
    pub headers: HeaderMap,
    /// The service that the request is routed to.
    pub service: ServiceName,
    /// The name of the matching route.
    pub route: RouteName,
    /// The caller that a key identified.
    pub caller: Option<CallerName>,
    /// The priority class.
    pub class: Class,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether a non-idempotent request runs at most once per key, also when the caller sends it
    /// again, or per attempt.
    pub once_per: OncePer,
    /// The priority within the class; 0 is the highest.
    pub rank: u8,
    /// The route's limit on attempts, which replaces that of the service; `None` at the gate.
    pub max_attempts: Option<u8>,
    /// The idempotency key; `None` for idempotent requests and those without a key.
    pub key: Option<IdempotencyKey>,
    /// The time after which a response is of no use to the caller.
    pub deadline: Instant,
    /// The time by which the response should arrive, if the route has a latency objective.
    pub objective: Option<Instant>,
    /// Identifies the request across resends, for the quarantine.
    pub fingerprint: Fingerprint,
    /// Set if a backend server makes the request while it runs another one.
    pub call: Option<Call>,
    /// The limit of the request body, in bytes.
    pub max_body_bytes: u64,
    /// Whether the request body may be passed on as it arrives.
    pub body_mode: BodyMode,
}

/// `Call` describes the running request for which a backend server makes a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// The time that backend servers have worked for it.
    pub spent: Duration,
    /// Whether it may have run before, so that the call may have been made before.
    pub repeated: bool,
}

/// `Attempt` is one try to run a request at one backend server.
#[derive(Debug)]
pub struct Attempt {
    /// The head that all attempts of the request share.
    pub head: Arc<RequestHead>,
    /// The backend server that is to run the request.
    pub endpoint: EndpointId,
    /// The number of the attempt, starting at 1.
    pub number: u8,
    /// Whether the attempt is a trial of an ejected backend server.
    pub trial: bool,
    /// Whether the request may have reached a backend server before.
    pub repeated: bool,
    /// Whether the gate may refuse the request while it suspects a gray failure.
    pub caution: Caution,
    /// When the entry node stops, if it is stopping.
    pub reply_by: ReplyBy,
    /// The request body.
    pub body: Body,
}

/// `format_load_header` formats a load for the load header: in flight, slots, queued, state and the
/// time for which the state is valid, if that is known, separated by slashes.
pub fn format_load_header(load: ReportedLoad) -> String {
    let state = load.state.as_str();
    let mut text = format!("{}/{}/{}/{state}", load.in_flight, load.slots, load.queued);
    if load.state_valid_ms > 0 {
        text.push_str(&format!("/{}", load.state_valid_ms));
    }
    text
}

/// `parse_load_header` parses the value of a load header; returns `None` when it is malformed.
pub fn parse_load_header(text: &str) -> Option<ReportedLoad> {
    let mut parts = text.split('/');
    let in_flight = parts.next()?.parse().ok()?;
    let slots = parts.next()?.parse().ok()?;
    let queued = parts.next()?.parse().ok()?;
    let state = match parts.next()? {
        "ready" => ServingState::Ready,
        "cold" => ServingState::Cold,
        "demoted" => ServingState::Demoted,
        "ejected" => ServingState::Ejected,
        "draining" => ServingState::Draining,
        "unproven" => ServingState::Unproven,
        _ => return None,
    };
    // Nodes of earlier versions don't send it.
    let state_valid_ms = parts.next().map_or(Some(0), |p| p.parse().ok())?;
    Some(ReportedLoad {
        in_flight,
        slots,
        queued,
        state,
        state_valid_ms,
    })
}

/// `AttemptReply` is the result of an attempt, as the gate sends it to the entry node.
#[derive(Debug)]
pub struct AttemptReply {
    /// Whether the request was run and answered.
    pub outcome: Outcome,
    /// The response for the caller unless another attempt is made.
    pub response: Response<Body>,
    /// The load of the backend server, if the gate reported it.
    pub load: Option<ReportedLoad>,
    /// The number of the crash that happened while the attempt was in flight, if any.
    pub crash_number: Option<u64>,
    /// Whether the reply comes from the gate; false if the entry node generated it because the gate
    /// was not reached or did not reply.
    pub from_gate: bool,
    /// Whether the request was written to a backend server, even if that refused to run it.
    pub reached_backend: bool,
}

impl AttemptReply {
    /// `clears_crashes` tells whether a backend server answered the request without an error and
    /// did not crash, which shows that the request does not crash every backend server.
    pub(crate) fn clears_crashes(&self) -> bool {
        self.outcome == Outcome::Answered
            && self.crash_number.is_none()
            && !self.response.status().is_server_error()
    }

    /// `calls_refused` tells whether a call of the request lacked capacity.
    pub(crate) fn call_shortage(&self) -> bool {
        self.response.extensions().get::<CallShortage>().is_some()
    }

    /// `refused_for` tells whether the reply states `reason`.
    pub(crate) fn refused_for(&self, reason: &str) -> bool {
        header_filter::single_value(self.response.headers(), headers::REASON) == Some(reason)
    }

    /// `allows_retry` tells whether another attempt may be made. A refusal that every backend
    /// server would repeat, such as an invalid key, is final.
    pub fn allows_retry(&self, idempotent: bool) -> bool {
        let status = self.response.status().as_u16();
        matches!(status, 500..=504) && self.outcome.allows_retry(idempotent)
    }
}
