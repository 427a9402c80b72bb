//! Messages for ejection leases.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{EndpointId, KeeperId, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;

/// `EjectionToken` allows its holder to eject one backend server. A region's ejection budget for a
/// service is the number of its tokens, which are numbered from 0.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EjectionToken {
    /// The service whose backend server may be ejected.
    pub service: ServiceName,
    /// The region of the backend server.
    pub region: Region,
    /// The token's number, which is valid while it is below the budget.
    pub number: u32,
}

/// `LeaseRequest` asks a keeper to reserve a token for a backend server, or to renew the
/// reservation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// The requested token.
    pub token: EjectionToken,
    /// The backend server to eject.
    pub endpoint: EndpointId,
    /// The incarnation of the gate's process; it orders the rounds before and after a restart.
    pub incarnation: Incarnation,
    /// Numbers the requests of one holder, so that a late reply is not taken for a newer one.
    pub round: u64,
}

/// `LeaseAnswer` is a keeper's decision on a lease request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseAnswer {
    /// The token is reserved for the backend server.
    Granted,
    /// Another backend server holds the token.
    Taken,
    /// The token's number is not below the budget: an ejection would leave fewer backend servers
    /// than the service's floor.
    OverBudget,
    /// The keeper started a moment ago and may have granted the token before it restarted.
    #[serde(rename = "Quiet")]
    Starting,
}

/// `LeaseReply` is a keeper's reply to a lease request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseReply {
    /// The replying keeper.
    pub keeper: KeeperId,
    /// The round of the request.
    pub round: u64,
    /// The keeper's decision.
    pub answer: LeaseAnswer,
    /// Number of backend servers that may be ejected now without going below the service's floor.
    pub budget: u32,
}

/// `ReleaseRequest` gives a token back before its lease ends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseRequest {
    /// The released token.
    pub token: EjectionToken,
    /// The backend server that holds it.
    pub endpoint: EndpointId,
    /// The incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// The holder's last round; a late release does not free grants of later rounds.
    pub round: u64,
}
