//! What every node knows of a backend server.

use serde::{Deserialize, Serialize};
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointName, ServiceName};

/// `EndpointStatus` is the part of a backend server's state that is sent to every node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointStatus {
    /// The service.
    pub service: ServiceName,
    /// The announced name.
    pub name: EndpointName,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Its state at its gate.
    pub state: ServingState,
}
