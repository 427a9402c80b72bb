//! Calls that a backend server makes while it runs a request.

mod support;

use std::time::Duration;

use shallothill_testing::http::Client;
use support::nested::NestedServices;
use support::{get, reason};

/// Guards against a request that fails after its backend server has worked for it, because a call
/// that the server makes finds no capacity for a moment.
#[tokio::test]
async fn a_call_waits_where_a_new_request_is_refused() {
    let services = NestedServices::start(Duration::from_secs(10)).await;
    let client = Client::default();
    services.occupy_pricing("first").await;

    let at = services.entry.caller_address();
    let new = get(&client, at, "/price/of", "new").await;
    let nested = get(&client, at, "/stock", "nested").await;

    assert_eq!((new.status.as_u16(), reason(&new)), (503, "queue-full"));
    assert_eq!(nested.status, 200, "{}", reason(&nested));
}
