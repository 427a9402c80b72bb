//! Requests of several kinds at one backend server.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures::future;
use hyper::Method;
use shallothill_core::ids::{RouteName, ServiceName};
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use support::{LONG, cluster, get};

const SLOTS: u16 = 32;
const LONG_WORK_MS: u64 = 3000;
const SHORT_DEADLINE: Duration = Duration::from_secs(2);

/// One service with a route of long work and one whose deadline is shorter than that work.
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

/// Guards against routes whose requests are refused at a free server since those of another route
/// take longer than their deadline.
#[tokio::test]
async fn a_route_of_short_requests_is_served_beside_one_of_long_requests() {
    let pair = cluster::pair(two_kinds(), long_stock_lookups()).await;
    let client = Client::default();
    let at = pair.entry.caller();

    let long = (0..SLOTS).map(|i| {
        let client = client.clone();
        async move {
            let path = format!("/stock/{i}");
            let sent = client.send(Method::GET, at, &path, &[], Bytes::new(), LONG);
            sent.await.unwrap().status.as_u16()
        }
    });
    let long = future::join_all(long).await;
    let short = get(&client, at, "/short/1", "s1").await;

    assert_eq!(long, vec![200; usize::from(SLOTS)]);
    assert_eq!(short.status, 200, "{}", support::reason(&short));
}
