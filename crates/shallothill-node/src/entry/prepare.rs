//! Checks a caller's request, finds its route and reads its body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Body as _;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::http::uri::PathAndQuery;
use rand::Rng;
use shallothill_core::class::Class;
use shallothill_core::config::{ApiKey, OncePer, Route, Target};
use shallothill_core::hash;
use shallothill_core::hash::Fingerprint;
use shallothill_core::headers;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{CallerName, ServiceName};
use shallothill_core::version::ConfigVersion;
use shallothill_policy::limits::Permit;
use shallothill_runtime::memory::HeldBytes;
use tokio::time;
use tokio::time::Instant;

use crate::attempt::{Call, RequestHead};
use crate::body::Body;
use crate::config::{ConfigSnapshot, NamedRoute, RouteLookup};
use crate::entry::credit::CreditToken;
use crate::entry::{Entry, fingerprint};
use crate::gate::{
    BODY_INCOMPLETE, BODY_TOO_LARGE, BODY_TOO_SLOW, MEMORY_SHORT, MEMORY_WAIT, ParentRequest,
};
use crate::header_filter;
use crate::refusal::Refusal;
use crate::unread_body::UnreadBody;

/// `Payload` is the body of a request, either buffered or streamed.
#[derive(Debug)]
pub(crate) enum Payload {
    /// The whole body is in memory and can be sent again.
    Buffered(Bytes),
    /// The body is forwarded as it arrives and can be sent only once.
    Stream(Box<Body>),
}

/// `Prepared` is a request that passed all checks. `permit` and `credit` are absent for callers without a
/// limit and without a quota.
#[derive(Debug)]
pub(crate) struct Prepared {
    pub(crate) head: Arc<RequestHead>,
    pub(crate) payload: Payload,
    pub(crate) permit: Option<Permit>,
    /// The key to check again before each attempt.
    pub(crate) checked_key: Option<ApiKey>,
    pub(crate) credit: Option<CreditToken>,
    /// The running request that this one is a call of.
    pub(crate) parent: Option<Arc<ParentRequest>>,
}

/// `Rejection` is a refusal. `allow` lists the accepted methods if the status is 405.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) refusal: Refusal,
    pub(crate) allow: Option<String>,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            allow: None,
        }
    }
}

impl Entry {
    /// `prepare` checks a request, counts it against its caller's limit and reads its body.
    pub(crate) async fn prepare(&self, req: Request<UnreadBody>) -> Result<Prepared, Rejection> {
        let cfg = self.deps.store.load_full();
        if !self.serving() || cfg.version() == ConfigVersion(0) {
            return Err(NOT_READY.into());
        }
        let (mut parts, incoming) = req.into_parts();
        self.check_parts(&parts, &cfg)?;
        let host = requested_host(&parts);
        let host_text = host.as_ref().and_then(|h| h.to_str().ok());
        let method = parts.method.as_str();
        let named = match cfg.routes().find(method, host_text, parts.uri.path()) {
            RouteLookup::Found(named) => named,
            RouteLookup::NotFound => return Err(UNKNOWN_ROUTE.into()),
            RouteLookup::MethodNotAllowed(allow) => {
                return Err(Rejection {
                    refusal: METHOD_NOT_ALLOWED,
                    allow: Some(allow),
                });
            }
        };
        let route = &named.route;
        let arrived = Instant::now();
        let deadline = arrived + self.request_timeout(&parts.headers, route)?;
        let objective = route.objective.map(|o| arrived + o);
        let key = read_key(&parts.headers, route)?;
        let caller = self.identify_caller(&parts.headers, &cfg, route)?;
        self.strip_caller_headers(&mut parts.headers, &cfg);
        let priority = self.priority(&parts.headers, route, &caller);
        if priority.parent.is_none() {
            let now = self.deps.timer.now();
            self.backpressure.admit(now, &named.name, priority.rank)?;
        }
        let service = choose_service(&route.target).ok_or(UNKNOWN_ROUTE)?;
        if incoming.size_hint().lower() > route.max_body_bytes {
            return Err(BODY_TOO_LARGE.into());
        }
        let permit = self.start_within_limits(&caller)?;
        let credit = self.take_credit(&caller, deadline).await?;
        let (payload, fingerprint) = self
            .read_body(&parts, incoming, route, &key, deadline)
            .await?;
        self.set_origin_header(&mut parts.headers);
        let fields = HeadFields {
            host,
            service,
            caller: caller.keyed_name(),
            class: priority.class,
            rank: priority.rank,
            key,
            deadline,
            objective,
            fingerprint,
            call: priority.parent.as_ref().map(|p| self.call_details(p)),
        };
        let head = build_head(parts, &named, fields);
        Ok(Prepared {
            head: Arc::new(head),
            payload,
            permit,
            checked_key: caller.checked_key,
            credit,
            parent: priority.parent,
        })
    }

    fn check_parts(&self, parts: &request::Parts, cfg: &ConfigSnapshot) -> Result<(), Refusal> {
        let path_bytes = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
        let bound = self.deps.bounds.header_bytes as u64;
        let limit = cfg.limits().map_or(bound, |l| l.header_bytes.min(bound));
        if (header_filter::encoded_size(&parts.headers) + path_bytes) as u64 > limit {
            return Err(HEADERS_TOO_LARGE);
        }
        // A backend server might resolve the path to another route than the one chosen here, and
        // then run a non-idempotent request without a claim.
        let is_dot_segment = |segment: &str| {
            let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
            decoded == "." || decoded == ".."
        };
        if parts.uri.path().split('/').any(is_dot_segment) {
            return Err(BAD_PATH);
        }
        Ok(())
    }

    // Replaces the origin header of the caller, because backend servers trust it.
    fn set_origin_header(&self, map: &mut HeaderMap) {
        let Some(name) = &self.deps.interface.origin_service else {
            return;
        };
        map.remove(name);
        if let Some(value) = &self.deps.origin_service {
            map.insert(name, value.clone());
        }
    }

    // Returns the timeout of the route, or that of the caller if it is shorter.
    fn request_timeout(&self, map: &HeaderMap, route: &Route) -> Result<Duration, Refusal> {
        let name = self.deps.interface.deadline_ms.as_str();
        if !map.contains_key(name) {
            return Ok(route.deadline);
        }
        let requested_ms = header_filter::single_value(map, name)
            .and_then(|v| v.parse().ok())
            .ok_or(BAD_DEADLINE)?;
        Ok(route.deadline.min(Duration::from_millis(requested_ms)))
    }

    // Returns how much of a body is kept, and how much is expected. A body that does not fit the free
    // memory is streamed from the start.
    fn kept_bytes(&self, announced: Option<u64>) -> (u64, usize) {
        let bound = self.deps.bounds.buffered_body_bytes as u64;
        let expected = announced.unwrap_or(bound).min(bound) as usize;
        if expected <= self.deps.memory.free_bytes() {
            (bound, expected)
        } else {
            (fingerprint::STREAMED_BODY_BYTES as u64, expected)
        }
    }

    // Buffers the body if it fits within the bounds, so that it can be sent again. Of a larger body
    // only the start is buffered; the rest is streamed as it arrives.
    async fn read_body(
        &self,
        parts: &request::Parts,
        mut incoming: UnreadBody,
        route: &Route,
        key: &Option<IdempotencyKey>,
        deadline: Instant,
    ) -> Result<(Payload, Fingerprint), Refusal> {
        let hint = incoming.size_hint();
        let (bound, expected) = self.kept_bytes(hint.upper());
        let mut buffered = HeldBytes::new(self.deps.memory.holder());
        let complete = loop {
            if incoming.is_end_stream() {
                break true;
            }
            if buffered.len() as u64 > bound {
                break false;
            }
            let frame = time::timeout_at(deadline, buffered.receive(incoming.frame()));
            match frame.await {
                Err(_) => return Err(BODY_TOO_SLOW),
                Ok(None) => return Err(MEMORY_SHORT),
                Ok(Some(None)) => break true,
                Ok(Some(Some(Err(_)))) => return Err(BODY_INCOMPLETE),
                Ok(Some(Some(Ok(frame)))) => {
                    if let Some(data) = frame.data_ref()
                        && !buffered.append(data, expected, MEMORY_WAIT).await
                    {
                        return Err(MEMORY_SHORT);
                    }
                }
            }
            if buffered.len() as u64 > route.max_body_bytes {
                return Err(BODY_TOO_LARGE);
            }
        };
        let buffered = buffered.into_bytes();
        let cx = fingerprint::Context {
            route_host: route.host.as_deref(),
            origin: self.deps.origin_service.as_ref(),
        };
        let fingerprint = match key {
            Some(key) => Fingerprint(hash::hash64(key.to_string().as_bytes())),
            None if complete => fingerprint::of_buffered(parts, cx, &buffered),
            None => fingerprint::of_streamed(parts, cx, &buffered, hint.exact()),
        };
        let payload = if complete {
            Payload::Buffered(buffered)
        } else {
            let remaining = route.max_body_bytes.saturating_sub(buffered.len() as u64);
            let body = Body::stream(buffered, incoming, remaining).with_deadline(deadline);
            Payload::Stream(Box::new(body.discarding_rest(deadline)))
        };
        Ok((payload, fingerprint))
    }
}

pub(super) fn requested_host(parts: &request::Parts) -> Option<HeaderValue> {
    let authority = || parts.uri.authority().and_then(|a| a.as_str().parse().ok());
    parts.headers.get(header::HOST).cloned().or_else(authority)
}

fn choose_service(target: &Target) -> Option<ServiceName> {
    let total = target.total_weight();
    let point = if total > 0 {
        rand::rng().random_range(0..total)
    } else {
        0
    };
    target.choose(point).cloned()
}

/// `HeadFields` contains the values that `prepare` determines for a request head.
struct HeadFields {
    host: Option<HeaderValue>,
    service: ServiceName,
    caller: Option<CallerName>,
    class: Class,
    rank: u8,
    key: Option<IdempotencyKey>,
    deadline: Instant,
    objective: Option<Instant>,
    fingerprint: Fingerprint,
    call: Option<Call>,
}

fn build_head(parts: request::Parts, named: &NamedRoute, fields: HeadFields) -> RequestHead {
    let mut map = parts.headers;
    header_filter::strip_hop_by_hop(&mut map);
    header_filter::strip_shallothill_headers(&mut map);
    map.remove(header::HOST);
    map.remove(header::EXPECT);
    if !named.route.idempotent {
        map.remove(headers::IDEMPOTENCY_KEY);
    }
    let root = || PathAndQuery::from_static("/");
    RequestHead {
        method: parts.method,
        path: parts.uri.path_and_query().cloned().unwrap_or_else(root),
        host: fields.host,
        headers: map,
        service: fields.service,
        route: named.name.clone(),
        caller: fields.caller,
        class: fields.class,
        idempotent: named.route.idempotent,
        once_per: named.route.once_per,
        rank: fields.rank,
        max_attempts: named.route.attempts,
        key: fields.key,
        deadline: fields.deadline,
        objective: fields.objective,
        fingerprint: fields.fingerprint,
        call: fields.call,
        max_body_bytes: named.route.max_body_bytes,
        body_mode: named.route.body,
    }
}

fn read_key(map: &HeaderMap, route: &Route) -> Result<Option<IdempotencyKey>, Refusal> {
    if route.idempotent || route.once_per == OncePer::Attempt {
        return Ok(None);
    }
    let text = header_filter::single_value(map, headers::IDEMPOTENCY_KEY).ok_or(BAD_KEY)?;
    IdempotencyKey::try_parse(text)
        .map(Some)
        .map_err(|_| BAD_KEY)
}

/// `NOT_READY` refuses requests until the node serves with a current configuration.
pub(crate) const NOT_READY: Refusal = Refusal::not_run(
    "no-config",
    "the node has no current configuration yet; send the request again",
);
const UNKNOWN_ROUTE: Refusal = Refusal::invalid(
    404,
    "unknown-route",
    "no route has a prefix of this path; check the path",
);
const BAD_PATH: Refusal = Refusal::invalid(
    400,
    "bad-path",
    "the path has `.` or `..` segments; send the resolved path",
);
const METHOD_NOT_ALLOWED: Refusal = Refusal::invalid(
    405,
    "method",
    "the route does not accept this method; see the Allow header",
);
const HEADERS_TOO_LARGE: Refusal = Refusal::invalid(
    431,
    "headers-too-large",
    "the headers are larger than allowed; send smaller ones",
);
const BAD_DEADLINE: Refusal = Refusal::invalid(
    400,
    "bad-deadline",
    "x-shallothill-deadline-ms is not a number of milliseconds",
);
const BAD_KEY: Refusal = Refusal::invalid(
    400,
    "bad-key",
    "the route is not idempotent; send one Idempotency-Key header with a UUIDv7",
);
