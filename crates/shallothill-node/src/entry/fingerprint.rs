//! Identifies requests, so that a resend of one that crashes backend servers is recognised.
//!
//! Requests that differ in any part get different fingerprints, because the response to one says
//! nothing about another.

use hyper::header::HeaderValue;
use hyper::http::request;
use hyper::http::uri::PathAndQuery;
use shallothill_core::hash::{Fingerprint, RequestIdentity};
use shallothill_core::headers;

/// `STREAMED_BODY_BYTES` is the length of the start of a streamed body that enters its fingerprint.
/// The rest has not arrived when the request is admitted.
pub(super) const STREAMED_BODY_BYTES: usize = 1024;

/// `Context` holds what the node knows of a request besides its message.
#[derive(Clone, Copy, Debug)]
pub(super) struct Context<'a> {
    /// The host that the route is for, if it is not for all.
    pub(super) route_host: Option<&'a str>,
    /// The service on the host where the request began.
    pub(super) origin: Option<&'a HeaderValue>,
}

/// `of_buffered` returns the fingerprint of a request with this body.
pub(super) fn of_buffered(parts: &request::Parts, cx: Context<'_>, body: &[u8]) -> Fingerprint {
    identify(parts, cx, body, None)
}

/// `of_streamed` returns the fingerprint of a request whose body starts with `start` and has the
/// announced length `bytes`, if any.
pub(super) fn of_streamed(
    parts: &request::Parts,
    cx: Context<'_>,
    start: &[u8],
    bytes: Option<u64>,
) -> Fingerprint {
    let start = start.get(..STREAMED_BODY_BYTES).unwrap_or(start);
    identify(parts, cx, start, bytes)
}

fn identify(
    parts: &request::Parts,
    cx: Context<'_>,
    body: &[u8],
    streamed_bytes: Option<u64>,
) -> Fingerprint {
    let caller = parts.headers.get(headers::CALLER);
    let path = parts.uri.path_and_query();
    let identity = RequestIdentity {
        method: parts.method.as_str(),
        host: cx.route_host.unwrap_or_default(),
        path_and_query: path.map_or("/", PathAndQuery::as_str),
        caller: caller.map_or(&[], HeaderValue::as_bytes),
        origin: cx.origin.map_or(&[], HeaderValue::as_bytes),
        body,
        streamed_bytes,
    };
    identity.fingerprint()
}
