//! Messages for ejection leases.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{EndpointId, KeeperId, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;

/// `EjectionToken` is one of the ejections that a service can bear in a region; numbers start at 0.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EjectionToken {
    /// The service.
    pub service: ServiceName,
    /// The region.
    pub region: Region,
    /// The number; it is valid while it is below the budget.
    pub number: u32,
}

/// `LeaseRequest` asks a keeper to reserve a token for a backend server, or to renew it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// The token.
    pub token: EjectionToken,
    /// The backend server to eject.
    pub endpoint: EndpointId,
    /// The life of the gate's process, which orders the rounds of one life before the next.
    pub incarnation: Incarnation,
    /// Numbers the requests of one holder, so that a late answer is not taken for a newer one.
    pub round: u64,
}

/// `LeaseAnswer` is a keeper's decision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseAnswer {
    /// The token is reserved.
    Granted,
    /// Another backend server holds the token.
    Taken,
    /// The token's number is not below the budget: the service's floor would be broken.
    OverBudget,
    /// The keeper started a moment ago and may have granted the token before.
    #[serde(rename = "Quiet")]
    Starting,
}

/// `LeaseReply` is a keeper's answer to a lease request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseReply {
    /// The keeper.
    pub keeper: KeeperId,
    /// The round of the request.
    pub round: u64,
    /// The decision.
    pub answer: LeaseAnswer,
    /// Ejections that the service can bear in the region now.
    pub budget: u32,
}

/// `ReleaseRequest` gives a token back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseRequest {
    /// The token.
    pub token: EjectionToken,
    /// Its holder.
    pub endpoint: EndpointId,
    /// The life of the holder's process.
    pub incarnation: Incarnation,
    /// The holder's last round; grants of later rounds are not given back by a late release.
    pub round: u64,
}
