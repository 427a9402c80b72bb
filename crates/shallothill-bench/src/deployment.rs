//! The two sample deployments that the simulations use, with the sizes of the design page.

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::config::Disposition;
use shallothill_core::ids::{DataCentre, Region, Zone};

/// `SERVERS` is the number of endpoints of each service.
pub const SERVERS: usize = 12;
/// `DATA_CENTRES` is the number of data centres, two in each region.
pub const DATA_CENTRES: usize = 6;
/// `REGIONS` is the number of regions.
pub const REGIONS: usize = 3;

/// `Deployment` describes one service of a deployment and its callers.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The name printed in tables.
    pub name: &'static str,
    /// The names of the regions, each with two data centres.
    pub regions: [&'static str; REGIONS],
    /// Number of requests that an endpoint runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that an endpoint accepts.
    pub connections: u32,
    /// The trade-off between quick detection and few false ejections.
    pub disposition: Disposition,
    /// The request classes and their fractions of all requests.
    pub classes: Vec<(Class, f64)>,
    /// Fraction of external requests that must not run twice.
    pub non_idempotent: f64,
    /// Median latency of a request.
    pub latency: Duration,
    /// Number of endpoints, over all regions, that ejection must leave healthy.
    pub floor: u32,
}

/// `texas` describes the deployment of the Texas Office of Scholarly Publications.
pub fn texas() -> Deployment {
    Deployment {
        name: "texas",
        regions: ["central", "north", "south"],
        slots: 5,
        connections: 300,
        disposition: Disposition::QUICK,
        classes: vec![
            (Class::Editor, 0.6),
            (Class::Author, 0.3),
            (Class::Internal, 0.1),
        ],
        non_idempotent: 0.3,
        latency: Duration::from_millis(40),
        floor: 6,
    }
}

/// `kopukcu` describes the deployment of Köpükçü Onarım Merkezi A.Ş.
pub fn kopukcu() -> Deployment {
    Deployment {
        name: "kopukcu",
        regions: ["marmara", "ege", "anadolu"],
        slots: 7,
        connections: 350,
        disposition: Disposition::CAUTIOUS,
        classes: vec![(Class::Shop, 0.8), (Class::Internal, 0.2)],
        non_idempotent: 0.2,
        latency: Duration::from_millis(40),
        floor: 6,
    }
}

impl Deployment {
    /// `zone` returns the region and name of data centre `dc`.
    ///
    /// Fails when a region's name is not valid.
    pub fn zone(&self, dc: usize) -> shallothill_core::Result<Zone> {
        let region = self.regions[region_of(dc)];
        Ok(Zone {
            region: Region::try_new(region)?,
            data_centre: DataCentre::try_new(&format!("{region}-{}", dc % 2))?,
        })
    }

    /// `floor_in_region` returns the part of the floor that one region must keep, rounded up.
    pub fn floor_in_region(&self) -> u32 {
        self.floor.div_ceil(REGIONS as u32)
    }

    /// `capacity` returns the number of requests per second that all endpoints can serve.
    pub fn capacity(&self) -> f64 {
        let mean = self.latency.as_secs_f64() * crate::sim::MEAN_TO_MEDIAN;
        SERVERS as f64 * f64::from(self.slots) / mean
    }
}

/// `region_of` returns the index of the region of data centre `dc`.
pub fn region_of(dc: usize) -> usize {
    dc / 2
}

/// `data_centre_of` returns the index of the data centre of endpoint `server`.
pub fn data_centre_of(server: usize) -> usize {
    server * DATA_CENTRES / SERVERS
}
