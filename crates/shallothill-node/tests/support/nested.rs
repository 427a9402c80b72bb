//! A backend server of the service `courier` that calls the service `pricing` for each request.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::json;
use shallothill_core::config::{Config, Target};
use shallothill_core::headers;
use shallothill_core::ids::{RouteName, ServiceName};
use shallothill_node::interface::HttpInterface;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::options::StandinOptions;
use shallothill_testing::process;
use shallothill_testing::standin::Standin;
use tokio::net::TcpListener;
use tokio::time;

use super::cluster::RunningNode;
use super::keepers::Keepers;
use super::{MAX_WAIT, cluster, get};

/// The time for which a request below `/price/long` occupies the only slot of `pricing`.
pub const LONG_WORK_MS: u64 = 800;

/// Two nodes: `n1` with the only slot of `pricing`, `n2` with the server of `courier`.
pub struct NestedServices {
    pub keepers: Keepers,
    pub entry: RunningNode,
    pub host: RunningNode,
    pub pricing: Standin,
}

fn config(deadline: Duration) -> Config {
    let mut cfg = cluster::config();
    let pricing = ServiceName::try_new("pricing").unwrap();
    let mut service = cluster::service();
    service.slots = Some(1);
    service.queue = 0;
    cfg.services.insert(pricing.clone(), service);
    let mut price = cluster::route("/price", "GET", true);
    price.target = Target::from(pricing);
    cfg.routes
        .insert(RouteName::try_new("price").unwrap(), price);
    for route in cfg.routes.values_mut() {
        route.deadline = deadline;
    }
    let stock = RouteName::try_new("stock").unwrap();
    cfg.routes.get_mut(&stock).unwrap().rank = Some(2);
    cfg
}

impl NestedServices {
    /// Starts the services; every route has `deadline`.
    pub async fn start(deadline: Duration) -> Self {
        let keepers = Keepers::start(cluster::REGION, config(deadline)).await;
        let interface = HttpInterface {
            calls_share_deadline: true,
            ..HttpInterface::default()
        };
        let start =
            |name| RunningNode::start_with_interface(name, &keepers.addresses, interface.clone());
        let (entry, host) = (start("n1").await, start("n2").await);
        let options = StandinOptions {
            announce: Some(entry.node.addresses().announce),
            service: "pricing".to_owned(),
            endpoint: "p1".to_owned(),
            behaviour: Behaviour {
                latency_by_path: BTreeMap::from([("/price/long".to_owned(), LONG_WORK_MS)]),
                claimed_slots: Some(1),
                ..Behaviour::default()
            },
            ..StandinOptions::default()
        };
        let pricing = Standin::start(options).await.unwrap();
        let server = start_calling_server(host.caller_address()).await;
        announce(&host, server).await;
        entry.wait_ready(1).await;
        host.wait_ready(1).await;
        let services = Self {
            keepers,
            entry,
            host,
            pricing,
        };
        let client = Client::default();
        for node in [&services.host, &services.entry] {
            let at = node.caller_address();
            let served = || async { get(&client, at, "/stock", "start").await.status == 200 };
            process::wait_until("a request and its call are served", MAX_WAIT, served)
                .await
                .unwrap();
        }
        services
    }

    /// Occupies the slot of `pricing` for `LONG_WORK_MS`.
    pub async fn occupy_pricing(&self, id: &str) {
        let (client, at) = (Client::default(), self.entry.caller_address());
        let sent = id.to_owned();
        tokio::spawn(async move { get(&client, at, "/price/long", &sent).await });
        let runs = || async {
            let record = self.pricing.record();
            record.iter().any(|r| r.id.as_deref() == Some(id))
        };
        process::wait_until("the slot is taken", MAX_WAIT, runs)
            .await
            .unwrap();
    }
}

async fn announce(node: &RunningNode, server: SocketAddr) {
    let body = json!({"address": server, "state": "ready", "slots": 5}).to_string();
    let at = node.node.addresses().announce;
    let path = "/announce/courier/e1";
    let client = Client::default();
    let sent = client.send(Method::PUT, at, path, &[], body.into(), MAX_WAIT);
    assert!(sent.await.unwrap().status.is_success());
}

async fn start_calling_server(node: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(cluster::any_local_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |req| run_request(node, req));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

// Works for a moment, then calls `/price` with the time that is left, and fails with the call.
async fn run_request(
    node: SocketAddr,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let started = time::Instant::now();
    let told = req.headers().get(headers::DEADLINE_MS);
    let told: u64 = told.unwrap().to_str().unwrap().parse().unwrap();
    time::sleep(Duration::from_millis(20)).await;
    let left = told.saturating_sub(started.elapsed().as_millis() as u64);
    let headers = [(headers::DEADLINE_MS, &*left.to_string())];
    let client = Client::default();
    let call = client.send(
        Method::GET,
        node,
        "/price/of",
        &headers,
        Bytes::new(),
        MAX_WAIT,
    );
    let answered = call.await.is_ok_and(|r| r.status == 200);
    let status = if answered { 200 } else { 500 };
    let response = Response::builder().status(status);
    Ok(response.body(Full::default()).unwrap())
}
