//! Builds configuration texts and settings files for tests and the demo.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;
use serde_json::{Value, json};

/// `ConfigBuilder` builds a configuration text as JSON, which is valid YAML.
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    document: Value,
}

impl ConfigBuilder {
    /// `new` creates a configuration with `regions` and no services, routes or callers.
    pub fn new(regions: &[&str]) -> Self {
        let document = json!({"regions": regions, "services": {}, "routes": {}, "callers": {}});
        Self { document }
    }

    /// `service` adds a service with 5 slots; `fields` overrides or adds fields.
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

    /// `route` adds a route of class `shop` for `GET`; `fields` overrides or adds fields.
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

    /// `caller` adds a caller of `class` without rate or concurrency limits.
    pub fn caller(mut self, name: &str, class: &str) -> Self {
        self.document["callers"][name] = json!({ "class": class });
        self
    }

    /// `build` formats the configuration as indented JSON, ready to be submitted.
    pub fn build(&self) -> String {
        format!("{:#}\n", self.document)
    }
}

fn merge(base: &mut Value, fields: Value) {
    if let (Some(base), Value::Object(fields)) = (base.as_object_mut(), fields) {
        base.extend(fields);
    }
}

/// `KeeperPlace` is the identity, location and addresses of one keeper, as every settings file
/// lists them.
#[derive(Clone, Debug, Serialize)]
pub struct KeeperPlace {
    /// The keeper id, unique in the fleet.
    pub id: u32,
    /// The region whose ledger group it belongs to.
    pub region: String,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// The address on which it serves nodes.
    pub control_address: SocketAddr,
    /// The address on which it serves other keepers.
    pub peer_address: SocketAddr,
}

/// `NodePlace` is the identity, location and addresses of one node.
#[derive(Clone, Debug, Serialize)]
pub struct NodePlace {
    /// The node name, unique in the fleet.
    pub node: String,
    /// The region in which it runs.
    pub region: String,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// The address on which it serves callers.
    pub caller_address: SocketAddr,
    /// The address on which it serves other nodes.
    pub peer_address: SocketAddr,
    /// The address on which backend servers on its host announce themselves.
    pub announce_address: SocketAddr,
}

/// `keeper_settings` returns the settings file of keeper `me`, which stores its data in `data_dir`.
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

/// `node_settings` returns the settings file of node `me`; of each keeper it lists only the control
/// address.
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
