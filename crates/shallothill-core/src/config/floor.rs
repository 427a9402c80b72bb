//! The floor of a service: the number of healthy backend servers that must remain in use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Region;

/// `Floor` is the number of healthy backend servers that ejection must leave. It is split by
/// region, so that regions without a connection to each other cannot eject too many in total.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Floor {
    /// A total, split evenly over the regions and rounded up.
    Total(u32),
    /// A number for each region; regions that are not listed have none.
    PerRegion(BTreeMap<Region, u32>),
}

impl Floor {
    /// `in_region` returns the number for `region` in a configuration with `regions` regions.
    pub fn in_region(&self, region: &Region, regions: usize) -> u32 {
        match self {
            Self::Total(n) => n.div_ceil(u32::try_from(regions.max(1)).unwrap_or(u32::MAX)),
            Self::PerRegion(by_region) => by_region.get(region).copied().unwrap_or(0),
        }
    }

    /// `total` returns the sum over all regions.
    pub fn total(&self) -> u32 {
        match self {
            Self::Total(n) => *n,
            Self::PerRegion(by_region) => by_region.values().sum(),
        }
    }
}
