//! The state of all components of the node as JSON, for operators.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use serde_json::{Value, json};
use shallothill_policy::quarantine::FingerprintStatus;
use shallothill_runtime::admin::{AdminHandler, AdminRequest};

use crate::control::Keeper;
use crate::gate::Endpoint;
use crate::node::Node;

impl AdminHandler for Node {
    async fn dump(&self) -> Value {
        json!({
            "node": self.settings().node,
            "zone": self.settings().zone(),
            "incarnation": self.incarnation(),
            "serving": self.entry().serving(),
            "stopping": self.stopping(),
            "config": self.dump_config(),
            "currency": self.currency().map(|c| c.dump()),
            "keepers": self.dump_keepers(),
            "gate": self.dump_gate(),
            "ledger": self.dump_ledger(),
            "quarantine": self.dump_quarantine(),
            "directory": self.dump_directory(),
            "picks": self.dump_picks(),
            "peers": self.links().addresses(),
            "open_requests": self.entry().open_requests().count(),
            "limited_routes": self.entry().limited_routes(),
            "limited_callers": self.entry().limited_callers(),
            "credit": self.entry().credit().dump(),
            "buffered_bytes": self.entry().memory().used_bytes(),
            "counters": self.counters().dump(),
        })
    }

    async fn handle(&self, _req: AdminRequest) -> Option<Response<Full<Bytes>>> {
        None
    }
}

impl Node {
    fn dump_config(&self) -> Value {
        let snapshot = self.store().load_full();
        json!({
            "version": snapshot.version(),
            "heard": self.store().highest_known_version(),
            "root": snapshot.root().to_string(),
            "sections": snapshot.sections().len(),
            "routes": snapshot.routes().len(),
            "services": snapshot.services().len(),
        })
    }

    fn dump_keepers(&self) -> Value {
        let all = self.keepers().all();
        let keepers = all.iter();
        let to_json = |k: &Arc<Keeper>| {
            json!({
                "id": k.id(),
                "address": k.channel().address(),
                "heard": k.is_reachable(),
            })
        };
        keepers.map(to_json).collect()
    }

    fn dump_gate(&self) -> Value {
        let endpoints = self.gate().endpoints();
        endpoints.values().map(|e| dump_endpoint(e)).collect()
    }

    fn dump_ledger(&self) -> Value {
        let (claims, repeats) = self.gate().ledger().in_flight_counts();
        json!({
            "claims_in_flight": claims,
            "calls_repeated": repeats,
            "groups": self.gate().ledger().keepers_by_region(),
        })
    }

    fn dump_quarantine(&self) -> Value {
        let now = self.timer().now();
        let to_json = |s: FingerprintStatus| {
            json!({
                "fingerprint": s.fingerprint.to_string(),
                "crashes": s.crashes,
                "released_in_ms": s.released_at.saturating_since(now).as_millis() as u64,
            })
        };
        self.crashes()
            .quarantine_entries()
            .into_iter()
            .map(to_json)
            .collect()
    }

    fn dump_directory(&self) -> Value {
        let nodes = self.view().nodes();
        let to_json = |(report, liveness)| json!({"report": report, "contact": liveness});
        nodes.into_iter().map(to_json).collect()
    }

    fn dump_picks(&self) -> Value {
        let tables = self.view().tables();
        let mut all: Vec<(String, Value)> = tables
            .services()
            .map(|(name, table)| {
                let (data_centre, region) = table.spill_permille();
                let value = json!({
                    "endpoints": table.endpoints().len(),
                    "spill_thousandths": {"data_centre": data_centre, "region": region},
                    "cross_region_bytes": table.cross_region_bytes().total(),
                });
                (name.to_string(), value)
            })
            .collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        Value::Object(all.into_iter().collect())
    }
}

fn dump_endpoint(e: &Endpoint) -> Value {
    let load = e.reported_load();
    json!({
        "endpoint": e.id().to_string(),
        "address": e.address(),
        "up": e.reported_state().is_some(),
        "state": load.state,
        "in_flight": load.in_flight,
        "slots": load.slots,
        "queued": load.queued,
    })
}
