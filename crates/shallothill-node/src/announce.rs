//! The HTTP endpoint for the announcements of the backend servers on the host.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode};
use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_runtime::json;
use tokio::time;

use crate::body::Body;
use crate::gate::{Announcement, AnnouncementError, Gate, WithdrawalError};
use crate::listener::RequestHandler;
use crate::refusal::Refusal;
use crate::unread_body::UnreadBody;

/// `MAX_BODY_BYTES` bounds the body of an announcement.
const MAX_BODY_BYTES: usize = 4096;

/// `BODY_TIMEOUT` is the time in which the body of an announcement arrives.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// `AnnounceServer` answers `PUT` and `DELETE /announce/{service}/{endpoint}`.
#[derive(Debug)]
pub struct AnnounceServer {
    /// The gate that registers the backend servers.
    pub gate: Arc<Gate>,
}

impl RequestHandler for AnnounceServer {
    async fn handle(&self, req: Request<UnreadBody>) -> Response<Body> {
        let Some((service, name)) = parse_path(req.uri().path()) else {
            return UNKNOWN_PATH.response();
        };
        if req.method() == Method::DELETE {
            let withdrawn = self.gate.withdraw_announcement(&service, &name, None);
            return match withdrawn.await {
                Ok(()) => no_content(),
                Err(WithdrawalError::NotStored) => NOT_STORED.response(),
                Err(WithdrawalError::FutureStart) => MALFORMED.response(),
            };
        }
        if req.method() != Method::PUT {
            return METHOD_NOT_ALLOWED.response();
        }
        let body = Limited::new(req.into_body(), MAX_BODY_BYTES).collect();
        let body = time::timeout(BODY_TIMEOUT, body).await;
        let announcement: Option<Announcement> = body
            .ok()
            .and_then(Result::ok)
            .and_then(|b| json::parse_object(&b.to_bytes()).ok());
        let Some(announcement) = announcement else {
            return MALFORMED.response();
        };
        let announced = self
            .gate
            .announce_after_restore(&service, &name, announcement);
        match announced.await {
            Ok(()) => no_content(),
            Err(AnnouncementError::DeparturesUnknown) => STARTING.response(),
            Err(_) => MALFORMED.response(),
        }
    }
}

fn parse_path(path: &str) -> Option<(ServiceName, EndpointName)> {
    let (service, name) = path.strip_prefix("/announce/")?.split_once('/')?;
    Some((
        ServiceName::try_new(service).ok()?,
        EndpointName::try_new(name).ok()?,
    ))
}

fn no_content() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

const UNKNOWN_PATH: Refusal = Refusal::invalid(
    404,
    "unknown-path",
    "announce with PUT or DELETE /announce/{service}/{endpoint}",
);
const METHOD_NOT_ALLOWED: Refusal = Refusal::invalid(
    405,
    "method",
    "announce with PUT, and take the announcement back with DELETE",
);
const MALFORMED: Refusal = Refusal::invalid(
    400,
    "malformed",
    "send JSON: {\"address\": \"ip:port\", \"state\": \"ready|cold|draining\", \"slots\": n}, \
     with a port and n above 0, a start that is not in the future, and not absent once a process of \
     this name has left, and a sequence that rises by one",
);
const NOT_STORED: Refusal = Refusal::not_run(
    "not-stored",
    "the backend server gets no more requests, but too few keepers have stored that; send it again",
);
const STARTING: Refusal = Refusal::not_run(
    "starting",
    "the node does not know yet which backend servers have left; announce again",
);
