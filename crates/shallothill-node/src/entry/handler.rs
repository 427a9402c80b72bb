//! Answers callers.

use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Request, Response};
use shallothill_core::headers;

use crate::attempt::Reply;
use crate::body::Body;
use crate::entry::{Entry, InFlight};
use crate::listener::Answer;

impl Answer for Entry {
    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let response = match self.prepare(req).await {
            Ok(prepared) => {
                let (reply, in_flight) = self.run(prepared).await;
                finish(reply, in_flight)
            }
            Err(denied) => {
                let mut response = denied.refusal.response();
                if let Some(allow) = denied.allow
                    && let Ok(allow) = HeaderValue::from_str(&allow)
                {
                    response.headers_mut().insert(header::ALLOW, allow);
                }
                response
            }
        };
        self.parts.counters.answered(response.status().as_u16());
        response
    }
}

fn finish(reply: Reply, in_flight: InFlight) -> Response<Body> {
    let mut response = reply.response.map(|body| body.guarded_by_entry(in_flight));
    response.headers_mut().insert(
        HeaderName::from_static(headers::OUTCOME),
        HeaderValue::from_static(reply.outcome.as_str()),
    );
    response
}
