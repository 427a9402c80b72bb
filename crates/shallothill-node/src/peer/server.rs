//! Handles requests of other nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response};
use serde::Serialize;
use shallothill_core::config::BodyMode;
use shallothill_core::headers;
use shallothill_core::ids::{NodeName, RouteName};
use shallothill_core::sections::{Section, SectionId};
use shallothill_wire::watch::SectionsReply;
use tokio::time;

use crate::attempt::AttemptReply;
use crate::body::Body;
use crate::config::ConfigStore;
use crate::counters::Counters;
use crate::entry::{Entry, NOT_READY};
use crate::gate::{Gate, MEMORY_SHORT};
use crate::head_memory;
use crate::listener::RequestHandler;
use crate::peer;
use crate::peer::{RouteRules, RunningAttempts, question};
use crate::refusal::Refusal;
use crate::unread_body::UnreadBody;

/// `MAX_IDS_BYTES` is the largest body of a request for sections, which lists their ids.
const MAX_IDS_BYTES: usize = 64 * 1024;

/// `IDS_TIMEOUT` is the time in which that body arrives.
const IDS_TIMEOUT: Duration = Duration::from_secs(5);

/// `UNKNOWN_ROUTE_RULES` applies to a route that is not in the configuration of this node yet. The
/// entry node's word decides there whether a request may run twice.
const UNKNOWN_ROUTE_RULES: RouteRules = RouteRules {
    max_body_bytes: 1024 * 1024,
    idempotent: true,
    body_mode: BodyMode::Buffered,
};

/// `PeerServer` runs attempts that other nodes send and serves them the configuration.
#[derive(Debug)]
pub struct PeerServer {
    /// The name of this node.
    pub node: NodeName,
    /// The gate that runs the attempts.
    pub gate: Arc<Gate>,
    /// The attempts that are running or ended lately.
    pub attempts: Arc<RunningAttempts>,
    /// The entry, which tells whether the node serves yet.
    pub entry: Arc<Entry>,
    /// The configuration that is served and that attempts are read with.
    pub store: Arc<ConfigStore>,
    /// The counters of attempts.
    pub counters: Arc<Counters>,
}

impl RequestHandler for PeerServer {
    async fn handle(&self, req: Request<UnreadBody>) -> Response<Body> {
        if req.uri().path() == question::PROCESS_PATH {
            let mut response = Response::new(Body::empty());
            question::write_process(response.headers_mut(), self.attempts.process());
            return response;
        }
        if req.uri().path() == question::QUESTION_PATH
            && let Some(question) = peer::read_question(req.headers())
        {
            let reply = self.attempts.wait(question.id, question.sent_to).await;
            return self.write_reply(reply);
        }
        if req.uri().path() == question::REPLY_LIMIT_PATH
            && let Some((id, reply_by)) = peer::read_reply_limit(req.headers())
        {
            self.attempts.limit_reply(id, reply_by);
            return Response::new(Body::empty());
        }
        if !req.headers().contains_key(headers::ENDPOINT) {
            return self.serve_config(req).await;
        }
        if !self.entry.serving() {
            return self.write_reply(NOT_READY.reply_from_gate());
        }
        let memory = &self.gate.dependencies().memory;
        let Some(_head) = head_memory::reserve_head(memory, &req) else {
            return self.write_reply(MEMORY_SHORT.reply_from_gate());
        };
        let id = question::read_id(req.headers());
        let entry = peer::read_entry(req.headers());
        let route_rules = |name: &RouteName| {
            let snapshot = self.store.load();
            let named = snapshot.routes().by_name(name);
            named.map_or(UNKNOWN_ROUTE_RULES, |n| RouteRules {
                max_body_bytes: n.route.max_body_bytes,
                idempotent: n.route.idempotent,
                body_mode: n.route.body,
            })
        };
        let reply = match peer::read_attempt(req, &self.node, route_rules) {
            Some((attempt, version)) => {
                self.store.record_version(version);
                self.counters.count_peer_attempt();
                if let Some(entry) = &entry {
                    self.gate.record_sender(entry);
                }
                match id {
                    Some(id) => self.attempts.run(id, Arc::clone(&self.gate), attempt).await,
                    None => self.gate.run(attempt, false).await,
                }
            }
            None => MALFORMED_ATTEMPT.reply_from_gate(),
        };
        self.write_reply(reply)
    }
}

impl PeerServer {
    fn write_reply(&self, reply: AttemptReply) -> Response<Body> {
        let mut response = peer::write_reply(reply, self.store.version());
        question::write_process(response.headers_mut(), self.attempts.process());
        response
    }

    async fn serve_config(&self, req: Request<UnreadBody>) -> Response<Body> {
        if req.method() != Method::GET {
            return UNKNOWN_PATH.response();
        }
        let snapshot = self.store.load_full();
        if req.uri().path() == "/peer/config/manifest" {
            return msgpack_response(&(snapshot.version(), snapshot.manifest()));
        }
        let version = req
            .uri()
            .path()
            .strip_prefix("/peer/config/sections/")
            .and_then(|v| v.parse::<u64>().ok());
        let Some(version) = version else {
            return UNKNOWN_PATH.response();
        };
        let body = Limited::new(req.into_body(), MAX_IDS_BYTES).collect();
        let body = time::timeout(IDS_TIMEOUT, body).await;
        let ids: Option<Vec<SectionId>> = body
            .ok()
            .and_then(Result::ok)
            .and_then(|b| rmp_serde::from_slice(&b.to_bytes()).ok());
        let Some(ids) = ids else {
            return MALFORMED.response();
        };
        let found = ids.iter().filter_map(|id| snapshot.sections().get(id));
        let sections =
            (snapshot.version().0 == version).then(|| found.map(|s| Section::clone(s)).collect());
        msgpack_response(&SectionsReply {
            sections,
            config_version: snapshot.version(),
        })
    }
}

fn msgpack_response<T: Serialize>(value: &T) -> Response<Body> {
    match rmp_serde::to_vec(value) {
        Ok(bytes) => Response::new(Body::full(Bytes::from(bytes))),
        Err(_) => MALFORMED.response(),
    }
}

const MALFORMED: Refusal = Refusal::invalid(
    400,
    "malformed",
    "the message between nodes is malformed; run the same version on all nodes",
);
// Not the caller's fault, so another node is tried.
const MALFORMED_ATTEMPT: Refusal = Refusal::not_run(
    "malformed",
    "the attempt between nodes is malformed; run the same version on all nodes",
);
const UNKNOWN_PATH: Refusal = Refusal::invalid(
    404,
    "unknown-path",
    "this address is for other nodes; callers use the caller address",
);
