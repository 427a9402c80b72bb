//! Builds configuration texts and settings files for tests and the demo.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;
use serde_json::{Value, json};

/// `ConfigBuilder` builds a configuration text; JSON is YAML as well.
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    document: Value,
}

impl ConfigBuilder {
    /// `new` starts a configuration with `regions`.
    pub fn new(regions: &[&str]) -> Self {
        let document = json!({"regions": regions, "services": {}, "routes": {}, "callers": {}});
        Self { document }
    }

    /// `service` adds a service with 5 slots; `fields` replaces and adds fields.
    pub fn service(mut self, name: &str, fields: Value) -> Self {
        let mut service = json!({
            "slots": 5,
            "connections": 300,
            "floor": 1,
            "disposition": "quick",
            "expected_latency": "40ms",
        });
        merge(&mut service, fields);
        self.document["services"][name] = service;
        self
    }

    /// `route` adds a route of class `shop` for `GET`; `fields` replaces and adds fields.
    pub fn route(mut self, name: &str, service: &str, path: &str, fields: Value) -> Self {
        let mut route = json!({
            "service": service,
            "methods": ["GET"],
            "path": path,
            "idempotent": true,
            "class": "shop",
            "deadline": "5s",
        });
        merge(&mut route, fields);
        self.document["routes"][name] = route;
        self
    }

    /// `caller` adds a caller of `class` without limits.
    pub fn caller(mut self, name: &str, class: &str) -> Self {
        self.document["callers"][name] = json!({ "class": class });
        self
    }

    /// `build` returns the text.
    pub fn build(&self) -> String {
        format!("{:#}\n", self.document)
    }
}

fn merge(base: &mut Value, fields: Value) {
    if let (Some(base), Value::Object(fields)) = (base.as_object_mut(), fields) {
        base.extend(fields);
    }
}

/// `KeeperPlace` is one keeper as all settings files list it.
#[derive(Clone, Debug, Serialize)]
pub struct KeeperPlace {
    /// The number.
    pub id: u32,
    /// The region whose ledger group it belongs to.
    pub region: String,
    /// The data centre.
    pub data_centre: String,
    /// The address for nodes.
    pub control_address: SocketAddr,
    /// The address for keepers.
    pub peer_address: SocketAddr,
}

/// `NodePlace` is one node.
#[derive(Clone, Debug, Serialize)]
pub struct NodePlace {
    /// The name.
    pub node: String,
    /// The region.
    pub region: String,
    /// The data centre.
    pub data_centre: String,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for other nodes.
    pub peer_address: SocketAddr,
    /// The address for backend servers.
    pub announce_address: SocketAddr,
}

/// `keeper_settings` returns the settings text of `me`, which keeps its data in `data_dir`.
pub fn keeper_settings(
    me: &KeeperPlace,
    keepers: &[KeeperPlace],
    regions: &[&str],
    data_dir: &PathBuf,
    admin: SocketAddr,
) -> String {
    let mut settings = json!(me);
    merge(
        &mut settings,
        json!({
            "data_dir": data_dir,
            "process": {"admin_address": admin},
            "regions": regions,
            "keepers": keepers,
        }),
    );
    format!("{settings:#}\n")
}

/// `node_settings` returns the settings text of `me`.
pub fn node_settings(
    me: &NodePlace,
    keepers: &[KeeperPlace],
    regions: &[&str],
    admin: SocketAddr,
) -> String {
    let keepers: Vec<Value> = keepers
        .iter()
        .map(|k| {
            json!({
                "id": k.id,
                "region": k.region,
                "data_centre": k.data_centre,
                "control_address": k.control_address,
            })
        })
        .collect();
    let mut settings = json!(me);
    merge(
        &mut settings,
        json!({
            "process": {"admin_address": admin},
            "regions": regions,
            "keepers": keepers,
        }),
    );
    format!("{settings:#}\n")
}
