//! The state of a backend server, which is sent to every node.

use serde::{Deserialize, Serialize};
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointName, ServiceName};

/// `EndpointStatus` is the part of a backend server's state that entry nodes route by.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointStatus {
    /// The service that the backend server belongs to.
    pub service: ServiceName,
    /// The name that the backend server announces, unique per service and node.
    pub name: EndpointName,
    /// The largest number of requests that the backend server runs at the same time.
    pub slots: u16,
    /// The serving state that its gate reports.
    pub state: ServingState,
}
