//! One attempt of a request and its result, as entry nodes and gates exchange them.

use std::sync::Arc;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Response};
use shallothill_core::class::Class;
use shallothill_core::config::OncePer;
use shallothill_core::hash::Fingerprint;
use shallothill_core::health::ServingState;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{EndpointId, RouteName, ServiceName};
use shallothill_core::outcome::Outcome;
use shallothill_policy::gray::Caution;
use shallothill_policy::pick::ReportedLoad;
use tokio::time::Instant;

use crate::body::Body;

/// `RequestHead` is what all attempts of a request have in common.
#[derive(Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The path with query.
    pub path: PathAndQuery,
    /// The host that the caller asked for.
    pub host: Option<HeaderValue>,
    /// The headers for the backend server.
    pub headers: HeaderMap,
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// The class.
    pub class: Class,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Over which sends a non-idempotent request runs at most once.
    pub once_per: OncePer,
    /// The rank within the class; 0 goes first.
    pub rank: u8,
    /// Backend servers that the request may be sent to, in place of the service's number.
    pub max_attempts: Option<u8>,
    /// The key of a non-idempotent request.
    pub key: Option<IdempotencyKey>,
    /// When the answer is no longer of use.
    pub deadline: Instant,
    /// Until when the answer is of full use, if the route says so.
    pub objective: Option<Instant>,
    /// Identifies the request across resends.
    pub fingerprint: Fingerprint,
    /// The largest body in bytes.
    pub max_body_bytes: u64,
}

/// `Attempt` is one sending of a request to one backend server.
#[derive(Debug)]
pub struct Attempt {
    /// What all attempts have in common.
    pub head: Arc<RequestHead>,
    /// The backend server.
    pub endpoint: EndpointId,
    /// The number of the attempt, from 1.
    pub number: u8,
    /// Whether the attempt tests an ejected backend server.
    pub trial: bool,
    /// Whether the request may have reached a backend server before.
    pub repeated: bool,
    /// What the gate may do with the request when its backend server is suspected.
    pub caution: Caution,
    /// The body.
    pub body: Body,
}

/// `format_load_header` returns the text for the load header.
pub fn format_load_header(load: ReportedLoad) -> String {
    let state = load.state.as_str();
    format!("{}/{}/{}/{state}", load.in_flight, load.slots, load.queued)
}

/// `parse_load_header` reads the load header; `None` when it is ill-formed.
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
        _ => return None,
    };
    Some(ReportedLoad {
        in_flight,
        slots,
        queued,
        state,
    })
}

/// `AttemptReply` is the result of an attempt.
#[derive(Debug)]
pub struct AttemptReply {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What the caller receives unless another attempt is made.
    pub response: Response<Body>,
    /// The load of the backend server, if the gate told it.
    pub load: Option<ReportedLoad>,
    /// The number of the crash that the attempt was in flight at.
    pub crash_number: Option<u64>,
    /// Whether the gate itself produced the reply, rather than the path to it.
    pub from_gate: bool,
    /// Whether the request was written to a backend server, which may have refused to run it.
    pub reached_backend: bool,
}

impl AttemptReply {
    /// `clears_crashes` tells whether the request was answered without an error by a backend server
    /// that lives on, so that it is not one that crashes every backend server.
    pub(crate) fn clears_crashes(&self) -> bool {
        self.outcome == Outcome::Answered
            && self.crash_number.is_none()
            && !self.response.status().is_server_error()
    }

    /// `allows_retry` tells whether another attempt may be sent.
    ///
    /// A refusal that another backend server would repeat, such as a wrong key, is final.
    pub fn allows_retry(&self, idempotent: bool) -> bool {
        let status = self.response.status().as_u16();
        matches!(status, 500..=504) && self.outcome.allows_retry(idempotent)
    }
}
