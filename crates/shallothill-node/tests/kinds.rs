//! Requests of several routes at one backend server.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures::future;
use hyper::Method;
use shallothill_core::ids::{RouteName, ServiceName};
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use support::{MAX_WAIT, cluster, get};

const SLOTS: u16 = 32;
const LONG_WORK_MS: u64 = 3000;
const SHORT_DEADLINE: Duration = Duration::from_secs(2);

/// A service with a route of long requests and one whose deadline is shorter than these take.
fn two_kinds() -> shallothill_core::config::Config {
    let mut cfg = cluster::config();
    let service = ServiceName::try_new("courier").unwrap();
    cfg.services.get_mut(&service).unwrap().slots = Some(SLOTS);
    let mut short = cluster::route("/short", "GET", true);
    short.deadline = SHORT_DEADLINE;
    cfg.routes
        .insert(RouteName::try_new("short").unwrap(), short);
    cfg
}

fn long_stock_lookups() -> Behaviour {
    Behaviour {
        latency_by_path: BTreeMap::from([("/stock".to_owned(), LONG_WORK_MS)]),
        claimed_slots: Some(SLOTS),
        ..Behaviour::default()
    }
}

/// Guards against requests that an idle backend server refuses because the latency of another route
/// exceeds their deadline.
#[tokio::test]
async fn a_route_of_short_requests_is_served_beside_one_of_long_requests() {
    let nodes = cluster::start_two_nodes(two_kinds(), long_stock_lookups()).await;
    let client = Client::default();
    let at = nodes.entry.caller_address();

    let long = (0..SLOTS).map(|i| {
        let client = client.clone();
        async move {
            let path = format!("/stock/{i}");
            let sent = client.send(Method::GET, at, &path, &[], Bytes::new(), MAX_WAIT);
            sent.await.unwrap().status.as_u16()
        }
    });
    let long = future::join_all(long).await;
    let short = get(&client, at, "/short/1", "s1").await;

    assert_eq!(long, vec![200; usize::from(SLOTS)]);
    assert_eq!(short.status, 200, "{}", support::reason(&short));
}
