//! The names and rules by which callers and backend servers speak to a node.

use hyper::header::{HeaderMap, HeaderName};
use shallothill_core::headers;

/// `HttpInterface` holds the headers that callers and backend servers use, and what a node may conclude
/// from them. The default is the interface of shallothill itself; an adapter to a platform builds
/// another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpInterface {
    /// Carries the time left for a request, in milliseconds, in both directions.
    pub deadline_ms: HeaderName,
    /// Identifies a request. A backend server repeats it, so that an answer without it, or with
    /// another value, belongs to another request.
    pub request_id: Option<HeaderName>,
    /// Names the backend server that a request is meant for; another one at the same address
    /// refuses it.
    pub expected_endpoint: Option<HeaderName>,
    /// Marks an answer of a backend server that did not run the request.
    pub not_run: Option<HeaderName>,
    /// Signs an answer; a success without it is not the backend server's.
    pub signature: Option<HeaderName>,
    /// Tells backend servers the service of the host that the request comes from.
    pub origin_service: Option<HeaderName>,
    /// Whether callers and backend servers get the headers of shallothill.
    pub send_shallothill_headers: bool,
    /// Whether `Retry-After` may have fractions of a second.
    pub fractional_retry_after: bool,
    /// The size up to which an answer is read as a whole before its first byte is passed on, so
    /// that a truncated one can be told from a whole one; `None` passes answers on as they arrive.
    pub max_buffered_response_bytes: Option<usize>,
    /// Whether an idempotent request goes to another backend server after an answer of 500 to 599.
    pub retry_server_errors: bool,
}

impl HttpInterface {
    /// `request_id_of` returns what identifies a request in logs; nothing where callers send no id.
    pub fn request_id_of<'a>(&self, map: &'a HeaderMap) -> Option<&'a str> {
        let name = self.request_id.as_ref()?;
        map.get(name)?.to_str().ok()
    }
}

impl Default for HttpInterface {
    fn default() -> Self {
        Self {
            deadline_ms: HeaderName::from_static(headers::DEADLINE_MS),
            request_id: None,
            expected_endpoint: None,
            not_run: None,
            signature: None,
            origin_service: None,
            send_shallothill_headers: true,
            fractional_retry_after: false,
            max_buffered_response_bytes: None,
            retry_server_errors: false,
        }
    }
}
