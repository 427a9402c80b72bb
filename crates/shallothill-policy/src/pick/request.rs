//! The input and the result of a pick.

use crate::pick::endpoint::{Endpoint, EndpointKey};

/// `Tier` is the distance of an endpoint from the entry node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// The entry node's data centre.
    DataCentre,
    /// Another data centre of the entry node's region.
    Region,
    /// Another region.
    OtherRegion,
}

impl Tier {
    /// `ALL` lists the tiers by increasing distance.
    pub const ALL: [Self; 3] = [Self::DataCentre, Self::Region, Self::OtherRegion];

    /// `as_str` returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DataCentre => "data-centre",
            Self::Region => "region",
            Self::OtherRegion => "other-region",
        }
    }
}

/// `PickRequest` describes the attempt that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Whether running the request twice is harmless; only then it may be a trial.
    pub idempotent: bool,
    /// The endpoints of earlier attempts of the request, which are avoided.
    pub avoid: &'a [EndpointKey],
    /// Bytes per second that this node may send to other regions for the service, if limited.
    pub cross_region_bytes_per_s: Option<u64>,
}

/// `Picked` is the selected endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Picked<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Its distance from the entry node.
    pub tier: Tier,
    /// Whether the attempt is a trial of an ejected endpoint.
    pub trial: bool,
}
