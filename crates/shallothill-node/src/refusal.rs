//! Responses that the node generates itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use shallothill_core::headers;
use shallothill_core::outcome::Outcome;

use crate::attempt::AttemptReply;
use crate::body::Body;

/// `DEFAULT_RETRY_AFTER` is the retry delay for refusals whose cause may end at any moment.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Refusal` describes a response that the node generates instead of passing one on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request was run.
    pub outcome: Outcome,
    /// The machine-readable reason, which goes into the reason header.
    pub reason: &'static str,
    /// The delay after which the caller may send the request again; `None` when a resend is of no
    /// use.
    pub retry_after: Option<Duration>,
    /// The cause and the remedy, for the response body.
    pub message: &'static str,
    /// Whether the request was written to a backend server.
    pub reached_backend: bool,
}

impl Refusal {
    /// `not_run` refuses a request that did not run, so that it may be sent again.
    pub const fn not_run(reason: &'static str, message: &'static str) -> Self {
        Self {
            status: 503,
            outcome: Outcome::RefusedNotRun,
            reason,
            retry_after: Some(DEFAULT_RETRY_AFTER),
            message,
            reached_backend: false,
        }
    }

    /// `declined` reports that a backend server received the request and stated that it did not run
    /// it.
    pub const fn declined(reason: &'static str, message: &'static str) -> Self {
        Self {
            reached_backend: true,
            ..Self::not_run(reason, message)
        }
    }

    /// `invalid` refuses a request that the caller must correct before sending it again.
    pub const fn invalid(status: u16, reason: &'static str, message: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::RefusedNotRun,
            reason,
            retry_after: None,
            message,
            reached_backend: false,
        }
    }

    /// `failed` reports that a backend server received the request and failed.
    pub const fn failed(reason: &'static str, message: &'static str) -> Self {
        Self {
            status: 502,
            outcome: Outcome::RanAndFailed,
            reason,
            retry_after: None,
            message,
            reached_backend: true,
        }
    }

    /// `unknown` reports that the request may have run.
    pub const fn unknown(reason: &'static str, message: &'static str) -> Self {
        Self {
            status: 504,
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
            message,
            reached_backend: true,
        }
    }

    /// `response` builds the HTTP response with the message as plain text and the outcome headers.
    pub fn response(&self) -> Response<Body> {
        let text = format!("{}\n", self.message);
        let mut response = Response::new(Body::full(Bytes::from(text)));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let map = response.headers_mut();
        let plain = HeaderValue::from_static("text/plain; charset=utf-8");
        map.insert(header::CONTENT_TYPE, plain);
        map.insert(
            HeaderName::from_static(headers::OUTCOME),
            HeaderValue::from_static(self.outcome.as_str()),
        );
        map.insert(
            HeaderName::from_static(headers::REASON),
            HeaderValue::from_static(self.reason),
        );
        if let Some(after) = self.retry_after {
            let ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX).max(1);
            map.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
            map.insert(
                HeaderName::from_static(headers::RETRY_AFTER_MS),
                HeaderValue::from(ms),
            );
        }
        response
    }

    /// `reply_from_gate` builds the reply of a gate that refuses an attempt.
    pub fn reply_from_gate(&self) -> AttemptReply {
        AttemptReply {
            outcome: self.outcome,
            response: self.response(),
            load: None,
            crash_number: None,
            from_gate: true,
            reached_backend: self.reached_backend,
        }
    }

    /// `reply_without_gate` builds the reply for an attempt that did not reach a gate or got no
    /// reply from it.
    pub fn reply_without_gate(&self) -> AttemptReply {
        AttemptReply {
            from_gate: false,
            ..self.reply_from_gate()
        }
    }
}
