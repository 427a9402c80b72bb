//! Serves operators' requests on the admin address.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use shallothill_core::version::ConfigVersion;
use shallothill_runtime::admin;
use shallothill_runtime::admin::{AdminHandler, AdminRequest};
use shallothill_wire::operator::{HistoryReply, ShowReply, SubmitRequest};

use crate::keeper::{Keeper, lock};
use crate::{key_status, status, submit};

/// `HISTORY_DEFAULT` is the number of changes that a history request without `limit` gets.
const HISTORY_DEFAULT: usize = 50;

/// `OperatorHandler` implements the keeper's requests of the admin endpoint.
#[derive(Clone, Debug)]
pub struct OperatorHandler(pub Arc<Keeper>);

type AdminResponse = Response<Full<Bytes>>;

impl AdminHandler for OperatorHandler {
    async fn dump(&self) -> serde_json::Value {
        dump(&self.0)
    }

    async fn handle(&self, req: AdminRequest) -> Option<AdminResponse> {
        match (&req.method, req.path.as_str()) {
            (&Method::POST, "/config/submit") => Some(self.submit(&req).await),
            (&Method::GET, "/config/show") => Some(self.show(&req)),
            (&Method::GET, "/config/history") => Some(self.history(&req)),
            (&Method::GET, "/status") => {
                Some(admin::msgpack_response(&status::collect(&self.0).await))
            }
            (&Method::GET, path) => {
                let key = path.strip_prefix("/ledger/")?;
                Some(match key_status::query_key(&self.0, key).await {
                    Ok(reply) => admin::msgpack_response(&reply),
                    Err((status, message)) => admin::text_response(status, message),
                })
            }
            _ => None,
        }
    }
}

impl OperatorHandler {
    async fn submit(&self, req: &AdminRequest) -> AdminResponse {
        let Ok(submission) = rmp_serde::from_slice::<SubmitRequest>(&req.body) else {
            return admin::text_response(
                StatusCode::BAD_REQUEST,
                "the body is no submission; use the `shallothill` command of this release\n",
            );
        };
        admin::msgpack_response(&submit::submit(&self.0, submission, true).await)
    }

    fn show(&self, req: &AdminRequest) -> AdminResponse {
        let wanted = req.query_value("version");
        let Ok(wanted) = wanted.map(str::parse::<u64>).transpose() else {
            return admin::text_response(StatusCode::BAD_REQUEST, "`version` must be a number\n");
        };
        let state = lock(&self.0.state).clone();
        let version = wanted.map_or(state.version(), ConfigVersion);
        admin::msgpack_response(&ShowReply {
            version,
            text: state.text_at(version),
        })
    }

    fn history(&self, req: &AdminRequest) -> AdminResponse {
        let limit = req.query_value("limit").map(str::parse::<usize>);
        match limit.unwrap_or(Ok(HISTORY_DEFAULT)) {
            Ok(limit) => admin::msgpack_response(&HistoryReply {
                items: lock(&self.0.state).history(limit),
            }),
            Err(_) => admin::text_response(StatusCode::BAD_REQUEST, "`limit` must be a number\n"),
        }
    }
}

fn to_json<T: Serialize>(value: &T) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn dump(keeper: &Keeper) -> serde_json::Value {
    let published = keeper.published.load();
    let config = {
        let state = lock(&keeper.state);
        json!({
            "log_version": state.version(),
            "text_bytes": state.text().len(),
            "change_ids": state.remembered_changes(),
            "served_version": published.version(),
            "served_root": published.root().to_string(),
            "section_steps": published.history().len(),
            "highest_heard": *keeper.subscribe_highest_version().borrow(),
        })
    };
    let leases = lock(&keeper.leases);
    let grants = leases.grants().map(|(token, endpoint)| {
        json!({
            "service": token.service,
            "region": token.region,
            "number": token.number,
            "endpoint": endpoint.to_string(),
        })
    });
    let grants: Vec<serde_json::Value> = grants.collect();
    drop(leases);
    let all = keeper.peers.all();
    let peers = all.iter().map(|(id, peer)| {
        json!({
            "keeper": id,
            "address": peer.peer_rpc.address(),
            "region": peer.region,
            "zone": lock(&peer.zone).as_ref(),
            "heard": keeper.is_responsive(peer),
        })
    });
    let peers: Vec<serde_json::Value> = peers.collect();
    let node_registry = lock(&keeper.node_registry);
    json!({
        "keeper": keeper.settings.id,
        "zone": keeper.settings.zone(),
        "incarnation": keeper.incarnation,
        "config": config,
        "log": to_json(&keeper.log.status()),
        "ledger": to_json(keeper.ledger.state().as_ref()),
        "leases": grants,
        "credit": to_json(&keeper.credit.status()),
        "keepers": peers,
        "directory": {
            "cursor": to_json(&node_registry.directory.cursor()),
            "nodes": node_registry.directory.nodes().map(to_json).collect::<Vec<_>>(),
        },
        "summaries": node_registry.loads.all_summaries().map(to_json).collect::<Vec<_>>(),
        "crashes": to_json(&node_registry.crashes.since(keeper.timer.now(), 0)),
    })
}
