//! The HTTP headers and rules that callers and backend servers use with a node.

use hyper::header::{HeaderMap, HeaderName};
use shallothill_core::headers;

/// `HttpInterface` configures the headers that callers and backend servers use and the conclusions
/// that a node draws from them. The default is the interface of shallothill itself; an adapter to
/// another platform builds its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpInterface {
    /// The header with the time left for a request in milliseconds, from callers and to backend
    /// servers.
    pub deadline_ms: HeaderName,
    /// The header with the request id. Backend servers copy it to the response, so that a response
    /// without it, or with another value, belongs to another request.
    pub request_id: Option<HeaderName>,
    /// The header with the name of the backend server that a request is meant for; another one at
    /// the same address refuses the request.
    pub expected_endpoint: Option<HeaderName>,
    /// The response header by which a backend server states that it did not run the request.
    pub not_run: Option<HeaderName>,
    /// The response header with a signature; a successful response without it is rejected, since it
    /// may not come from the backend server.
    pub signature: Option<HeaderName>,
    /// The request header with the service of the host that the request comes from, for backend
    /// servers.
    pub origin_service: Option<HeaderName>,
    /// The request header with the key of a caller.
    pub api_key: HeaderName,
    /// The request header with the name of the caller that a key identifies, for backend servers.
    pub caller_name: HeaderName,
    /// Whether callers and backend servers are sent the `x-shallothill-` headers.
    pub send_shallothill_headers: bool,
    /// Whether `Retry-After` is written with fractions of a second.
    pub fractional_retry_after: bool,
    /// The size up to which a response is read completely before it is passed on, so that a
    /// truncated one can be replaced by an error; `None` passes responses on as they arrive.
    pub max_buffered_response_bytes: Option<usize>,
    /// Whether an idempotent request is retried at another backend server after a response with
    /// status 500 to 599.
    pub retry_server_errors: bool,
    /// Whether a backend server sends the time left for the request that it runs with the calls that
    /// it makes for it, through the node of its host. The calls are recognised by that time, as they
    /// carry nothing else of the request.
    pub calls_share_deadline: bool,
    /// Whether a backend server's name belongs to it alone among all services of its host, so that
    /// its departure holds for every service that an announcement names.
    pub unique_endpoint_names: bool,
}

impl HttpInterface {
    /// `request_id_of` returns the request id for logs; `None` when the header is not configured,
    /// is missing or is not text.
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
            api_key: HeaderName::from_static(headers::KEY),
            caller_name: HeaderName::from_static(headers::CALLER),
            send_shallothill_headers: true,
            fractional_retry_after: false,
            max_buffered_response_bytes: None,
            retry_server_errors: false,
            calls_share_deadline: false,
            unique_endpoint_names: false,
        }
    }
}
