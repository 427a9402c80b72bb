//! Encodes attempts and replies as HTTP messages between nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri, Version};
use shallothill_core::class::Class;
use shallothill_core::config::{BodyMode, OncePer};
use shallothill_core::hash::Fingerprint;
use shallothill_core::headers;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{
    CallerName, EndpointId, EndpointName, NodeName, RouteName, ServiceName,
};
use shallothill_core::outcome::Outcome;
use shallothill_core::version::ConfigVersion;
use shallothill_policy::gray::Caution;
use tokio::time::Instant;

use crate::attempt;
use crate::attempt::{Attempt, AttemptReply, Call, RequestHead};
use crate::body::Body;
use crate::gate::CallShortage;
use crate::header_filter;
use crate::header_filter::optional_value;
use crate::peer::{AttemptId, question};
use crate::reply_by::ReplyBy;
use crate::unread_body::UnreadBody;

/// `AUTHORITY` is the authority of requests between nodes; the caller's host is sent in a header.
const AUTHORITY: &str = "peer";

/// `RouteRules` is what a gate's own configuration says of the route of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct RouteRules {
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Whether request bodies may be passed on as they arrive.
    pub body_mode: BodyMode,
}

fn set_header(map: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        map.insert(HeaderName::from_static(name), value);
    }
}

/// `write_attempt` builds the request that sends an attempt to a peer. `id` identifies the attempt
/// in questions about it; `version` is the
/// configuration version of this node.
pub fn write_attempt(attempt: Attempt, id: AttemptId, version: ConfigVersion) -> Request<Body> {
    let head = &attempt.head;
    let mut req = Request::new(attempt.body);
    *req.method_mut() = head.method.clone();
    *req.version_mut() = Version::HTTP_2;
    let uri = Uri::builder()
        .scheme("http")
        .authority(AUTHORITY)
        .path_and_query(head.path.clone())
        .build();
    *req.uri_mut() = uri.unwrap_or_default();
    let map = req.headers_mut();
    *map = head.headers.clone();
    if let Some(host) = &head.host {
        map.insert(header::HOST, host.clone());
    }
    let left = head.deadline.saturating_duration_since(Instant::now());
    set_header(map, headers::DEADLINE_MS, &left.as_millis().to_string());
    set_header(map, headers::CLASS, head.class.as_str());
    set_header(map, headers::SERVICE, head.service.as_str());
    set_header(map, headers::ROUTE, head.route.as_str());
    if let Some(caller) = &head.caller {
        set_header(map, headers::CALLER, caller.as_str());
    }
    set_header(map, headers::ENDPOINT, attempt.endpoint.name.as_str());
    set_header(map, headers::ATTEMPT, &attempt.number.to_string());
    set_header(map, headers::CONFIG_VERSION, &version.to_string());
    set_header(map, headers::FINGERPRINT, &head.fingerprint.0.to_string());
    question::write_id(map, id);
    if attempt.trial {
        set_header(map, headers::TRIAL, "true");
    }
    if attempt.repeated {
        set_header(map, headers::REPEATED, "true");
    }
    if attempt.caution != Caution::Trust {
        set_header(map, headers::CAUTION, attempt.caution.as_str());
    }
    if !head.idempotent {
        set_header(map, headers::IDEMPOTENT, "false");
    }
    if !head.idempotent && head.once_per == OncePer::Attempt {
        set_header(map, headers::ONCE_PER, "attempt");
    }
    if head.rank > 0 {
        set_header(map, headers::RANK, &head.rank.to_string());
    }
    if let Some(call) = &head.call {
        set_header(map, headers::SPENT_MS, &call.spent.as_millis().to_string());
    }
    if let Some(objective) = head.objective {
        let left = objective.saturating_duration_since(Instant::now());
        set_header(map, headers::OBJECTIVE_MS, &left.as_millis().to_string());
    }
    if let Some(at) = attempt.reply_by.get() {
        question::write_reply_by(map, at);
    }
    if let Some(key) = &head.key {
        set_header(map, headers::IDEMPOTENCY_KEY, &key.to_string());
    }
    req
}

/// `write_entry` adds the name of the entry node to an attempt.
pub fn write_entry(map: &mut HeaderMap, node: &NodeName) {
    set_header(map, headers::ENTRY, node.as_str());
}

/// `read_entry` returns the name of the node that sent an attempt, if it is stated.
pub fn read_entry(map: &HeaderMap) -> Option<NodeName> {
    NodeName::try_new(header_filter::single_value(map, headers::ENTRY)?).ok()
}

/// `read_attempt` parses an attempt that a peer sent to `node`, and the configuration version of
/// the peer; `None` if a header is missing or cannot be read. `route_rules` returns what the
/// configuration of `node` says of a route.
pub fn read_attempt(
    req: Request<UnreadBody>,
    node: &NodeName,
    route_rules: impl FnOnce(&RouteName) -> RouteRules,
) -> Option<(Attempt, ConfigVersion)> {
    let (parts, incoming) = req.into_parts();
    let map = &parts.headers;
    let text = |name| header_filter::single_value(map, name);
    let number = |name| text(name).and_then(|v| v.parse::<u64>().ok());
    let service = ServiceName::try_new(text(headers::SERVICE)?).ok()?;
    let route = RouteName::try_new(text(headers::ROUTE)?).ok()?;
    let name = EndpointName::try_new(text(headers::ENDPOINT)?).ok()?;
    let caller = optional_value(map, headers::CALLER, |c| CallerName::try_new(c).ok())?;
    let class: Class = text(headers::CLASS)?.parse().ok()?;
    let left = Duration::from_millis(number(headers::DEADLINE_MS)?);
    let attempt_number = u8::try_from(number(headers::ATTEMPT)?).ok()?;
    let version = ConfigVersion(number(headers::CONFIG_VERSION)?);
    let fingerprint = Fingerprint(number(headers::FINGERPRINT)?);
    let trial = text(headers::TRIAL).is_some();
    let repeated = text(headers::REPEATED).is_some();
    let caution = Caution::from_name(text(headers::CAUTION).unwrap_or_default());
    let rules = route_rules(&route);
    let idempotent = optional_value(map, headers::IDEMPOTENT, |v| v.parse::<bool>().ok())?;
    let idempotent = rules.idempotent && idempotent.unwrap_or(true);
    let per_attempt = |v: &str| (v == "attempt").then_some(OncePer::Attempt);
    let once_per = optional_value(map, headers::ONCE_PER, per_attempt)?.unwrap_or(OncePer::Key);
    let rank = optional_value(map, headers::RANK, |v| v.parse::<u8>().ok())?;
    let key = text(headers::IDEMPOTENCY_KEY)
        .filter(|_| !idempotent)
        .and_then(|k| IdempotencyKey::try_parse(k).ok());
    let host = map.get(header::HOST).cloned();
    let mut forwarded = parts.headers.clone();
    header_filter::strip_shallothill_headers(&mut forwarded);
    forwarded.remove(header::HOST);
    let root = || PathAndQuery::from_static("/");
    let arrived = Instant::now();
    let deadline = arrived.checked_add(left)?;
    let millis = |v: &str| v.parse().ok().map(Duration::from_millis);
    let until = |v: &str| arrived.checked_add(millis(v)?);
    let objective = optional_value(map, headers::OBJECTIVE_MS, until)?;
    let reply_by = optional_value(map, headers::REPLY_BY_MS, until)?;
    let spent = optional_value(map, headers::SPENT_MS, millis)?;
    let call = spent.map(|spent| Call { spent, repeated });
    let head = RequestHead {
        method: parts.method,
        path: parts.uri.path_and_query().cloned().unwrap_or_else(root),
        host,
        headers: forwarded,
        service: service.clone(),
        route,
        caller,
        class,
        idempotent,
        once_per,
        rank: rank.unwrap_or(0),
        max_attempts: None,
        key,
        deadline,
        objective,
        fingerprint,
        call,
        max_body_bytes: rules.max_body_bytes,
        body_mode: rules.body_mode,
    };
    let endpoint = EndpointId {
        service,
        node: node.clone(),
        name,
    };
    let attempt = Attempt {
        head: Arc::new(head),
        endpoint,
        number: attempt_number,
        trial,
        repeated,
        caution,
        reply_by: reply_by.map_or_else(ReplyBy::default, ReplyBy::at),
        body: Body::stream(Bytes::new(), incoming, rules.max_body_bytes).with_deadline(deadline),
    };
    Some((attempt, version))
}

/// `write_reply` builds the response that a gate sends to an entry node. `version` is the
/// configuration version of this node.
pub fn write_reply(reply: AttemptReply, version: ConfigVersion) -> Response<Body> {
    let call_shortage = reply.call_shortage();
    let mut response = reply.response;
    let map = response.headers_mut();
    set_header(map, headers::OUTCOME, reply.outcome.as_str());
    set_header(map, headers::CONFIG_VERSION, &version.to_string());
    if let Some(load) = reply.load {
        set_header(map, headers::LOAD, &attempt::format_load_header(load));
    }
    if call_shortage {
        set_header(map, headers::CALL_SHORTAGE, "true");
    }
    if reply.reached_backend {
        set_header(map, headers::REACHED, "true");
    }
    if let Some(crash) = reply.crash_number {
        set_header(map, headers::CRASH, &crash.to_string());
    }
    response
}

/// `read_reply` parses the response of a gate and the configuration version of its node, 0 if it is
/// absent; `None` if the response is malformed.
pub fn read_reply(
    response: Response<Incoming>,
    deadline: Instant,
) -> Option<(AttemptReply, ConfigVersion)> {
    let (mut parts, incoming) = response.into_parts();
    let text = |name| header_filter::single_value(&parts.headers, name);
    let outcome: Outcome = text(headers::OUTCOME)?.parse().ok()?;
    let version = text(headers::CONFIG_VERSION).and_then(|v| v.parse().ok());
    let load = text(headers::LOAD).and_then(attempt::parse_load_header);
    let crash = text(headers::CRASH).and_then(|v| v.parse().ok());
    let reached = text(headers::REACHED).is_some();
    if text(headers::CALL_SHORTAGE).is_some() {
        parts.extensions.insert(CallShortage);
    }
    let kept = [headers::REASON, headers::RETRY_AFTER_MS];
    let kept = kept.map(|name| (name, parts.headers.get(name).cloned()));
    header_filter::strip_shallothill_headers(&mut parts.headers);
    for (name, value) in kept {
        if let Some(value) = value {
            parts.headers.insert(name, value);
        }
    }
    let body = Body::stream(Bytes::new(), incoming, u64::MAX).with_deadline(deadline);
    let reply = AttemptReply {
        outcome,
        response: Response::from_parts(parts, body),
        load,
        crash_number: crash,
        from_gate: true,
        reached_backend: reached,
    };
    Some((reply, ConfigVersion(version.unwrap_or(0))))
}
