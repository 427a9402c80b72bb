//! The services that the requests of a route go to.

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// `Share` is the part of a route's requests that one service gets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The service that gets the requests.
    pub service: ServiceName,
    /// The weight, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// `Target` is the service that a route sends its requests to, or several with weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Target {
    /// All requests go to one service.
    Service(ServiceName),
    /// Each request goes to one of these services, in proportion to the weights. The sum of the
    /// weights is above 0.
    Split(Vec<Share>),
}

impl From<ServiceName> for Target {
    fn from(service: ServiceName) -> Self {
        Self::Service(service)
    }
}

impl Target {
    /// `services` iterates over all services that a request may be sent to, also of weight 0.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, many) = match self {
            Self::Service(service) => (Some(service), [].as_slice()),
            Self::Split(shares) => (None, shares.as_slice()),
        };
        one.into_iter().chain(many.iter().map(|s| &s.service))
    }

    /// `total_weight` returns the sum of the weights; 0 for a single service.
    pub fn total_weight(&self) -> u64 {
        match self {
            Self::Service(_) => 0,
            Self::Split(shares) => shares.iter().map(|s| u64::from(s.weight)).sum(),
        }
    }

    /// `choose` returns the service for `point`, a random number that is uniform below
    /// [`Self::total_weight`]; `None` if it is not below it.
    pub fn choose(&self, point: u64) -> Option<&ServiceName> {
        let shares = match self {
            Self::Service(service) => return Some(service),
            Self::Split(shares) => shares,
        };
        let mut end = 0;
        let found = shares.iter().find(|s| {
            end += u64::from(s.weight);
            point < end
        });
        found.map(|s| &s.service)
    }
}
