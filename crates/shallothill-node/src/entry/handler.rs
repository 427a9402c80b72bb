//! Handles requests of callers: runs them, logs the decision and writes the response.

use std::sync::Arc;

use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request;
use hyper::{Request, Response};
use shallothill_core::config::Limits;
use shallothill_core::headers;
use shallothill_runtime::memory::Reservation;
use tokio::time::Instant;

use crate::attempt::AttemptReply;
use crate::body::Body;
use crate::config::RouteLookup;
use crate::entry::{Entry, InFlight, prepare};
use crate::gate::{MEMORY_SHORT, MEMORY_WAIT};
use crate::head_memory;
use crate::header_filter;
use crate::listener::RequestHandler;
use crate::unread_body::UnreadBody;

/// `RUNNING_BYTES` is the memory of the state of a request and its attempts while it runs.
const RUNNING_BYTES: usize = 48 * 1024;

/// `Decision` is the outcome of a request as it is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Decision {
    outcome: &'static str,
    reason: Option<String>,
    retry_after_ms: Option<u64>,
}

impl Decision {
    fn from_response(outcome: &'static str, response: &Response<Body>) -> Self {
        let text = |name| header_filter::single_value(response.headers(), name);
        Self {
            outcome,
            reason: text(headers::REASON).map(str::to_owned),
            retry_after_ms: text(headers::RETRY_AFTER_MS).and_then(|v| v.parse().ok()),
        }
    }
}

impl RequestHandler for Entry {
    async fn handle(&self, req: Request<UnreadBody>) -> Response<Body> {
        let arrived = Instant::now();
        let _open = self.open.start();
        let id = self.deps.interface.request_id_of(req.headers());
        let id = id.map(str::to_owned);
        let mut head = None;
        let memory = head_memory::reserve_head(&self.deps.memory, &req);
        let prepared = match &memory {
            // Boxed, so that a request that runs does not hold the state of its preparation.
            Some(_) => Box::pin(self.prepare(req)).await,
            None => Err(MEMORY_SHORT.into()),
        };
        let running = match &prepared {
            Ok(_) => self.reserve_running().await,
            Err(_) => None,
        };
        let prepared =
            prepared.and_then(|p| running.as_ref().map(|_| p).ok_or(MEMORY_SHORT.into()));
        let (response, decision) = match prepared {
            Ok(prepared) => {
                head = Some(Arc::clone(&prepared.head));
                // Boxed, so that a request whose body still arrives does not hold its state.
                let (reply, in_flight) = Box::pin(self.run(prepared)).await;
                let decision = Decision::from_response(reply.outcome.as_str(), &reply.response);
                (self.caller_response(reply, in_flight), decision)
            }
            Err(rejection) => {
                let mut response = rejection.refusal.response();
                let decision =
                    Decision::from_response(rejection.refusal.outcome.as_str(), &response);
                if let Some(allow) = rejection.allow
                    && let Ok(allow) = HeaderValue::from_str(&allow)
                {
                    response.headers_mut().insert(header::ALLOW, allow);
                }
                self.adapt_headers(&mut response);
                (response, decision)
            }
        };
        tracing::info!(
            request = id,
            route = head.as_ref().map(|h| h.route.as_str()),
            service = head.as_ref().map(|h| h.service.as_str()),
            caller = head
                .as_ref()
                .and_then(|h| h.caller.as_ref()?.as_str().into()),
            rank = head.as_ref().map(|h| h.rank),
            outcome = decision.outcome,
            status = response.status().as_u16(),
            reason = decision.reason,
            retry_after_ms = decision.retry_after_ms,
            config = self.deps.store.version().0,
            took_ms = arrived.elapsed().as_millis() as u64,
            "entry: answered"
        );
        self.deps
            .counters
            .count_response(response.status().as_u16());
        response
    }

    fn may_start_early(&self, parts: &request::Parts) -> bool {
        let cfg = self.deps.store.load();
        let method = parts.method.as_str();
        let host = prepare::requested_host(parts);
        let host = host.as_ref().and_then(|h| h.to_str().ok());
        let found = cfg.routes().find(method, host, parts.uri.path());
        !self.draining() && matches!(found, RouteLookup::Found(named) if named.route.idempotent)
    }

    fn limits(&self) -> Option<Limits> {
        self.deps.store.load().limits()
    }
}

impl Entry {
    // Reserves the memory of a request that runs, which is held until its response is passed on.
    async fn reserve_running(&self) -> Option<Reservation> {
        let holder = self.deps.memory.holder();
        holder.reserve_within(RUNNING_BYTES, MEMORY_WAIT).await
    }

    fn caller_response(&self, reply: AttemptReply, in_flight: InFlight) -> Response<Body> {
        let mut response = reply.response.map(|body| body.with_entry_guard(in_flight));
        response.headers_mut().insert(
            HeaderName::from_static(headers::OUTCOME),
            HeaderValue::from_static(reply.outcome.as_str()),
        );
        self.adapt_headers(&mut response);
        response
    }

    // Rewrites the node's own headers (connection close, retry-after, `x-shallothill-*`) in the
    // form that callers of this interface expect.
    fn adapt_headers(&self, response: &mut Response<Body>) {
        let interface = &self.deps.interface;
        let map = response.headers_mut();
        if self.draining() {
            map.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let retry_after_ms = header_filter::single_value(map, headers::RETRY_AFTER_MS)
            .and_then(|v| v.parse::<u64>().ok());
        if let Some(ms) = retry_after_ms.filter(|_| interface.fractional_retry_after) {
            let seconds = format!("{}.{:03}", ms / 1000, ms % 1000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                map.insert(header::RETRY_AFTER, value);
            }
        }
        if !interface.send_shallothill_headers {
            header_filter::strip_shallothill_headers(map);
        }
    }
}
