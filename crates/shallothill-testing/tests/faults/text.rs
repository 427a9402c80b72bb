//! Configurations of the tests.

use serde_json::json;
use shallothill_testing::builders::ConfigBuilder;

use crate::fleet::REGIONS;

/// `text` returns a valid configuration that is distinct for each `mark`; only the one with this
/// `mark` has a route for `/only/{mark}`.
pub fn text(mark: u32) -> String {
    let booking = json!({"methods": ["POST"], "idempotent": false});
    ConfigBuilder::new(&REGIONS)
        .service(
            "bookings",
            json!({"floor": 0, "slots": 5 + mark, "connections": 1000}),
        )
        .route("only", "bookings", &format!("/only/{mark}"), json!({}))
        .route("look-up", "bookings", "/bookings", json!({}))
        .route("book", "bookings", "/bookings", booking)
        .caller("shop", "shop")
        .build()
}
