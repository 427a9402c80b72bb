//! The two deployments, as the design page describes them.

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
    /// The name in tables.
    pub name: &'static str,
    /// The regions, each with two data centres.
    pub regions: [&'static str; REGIONS],
    /// Requests that an endpoint runs at a time.
    pub slots: u16,
    /// Connections that an endpoint accepts.
    pub connections: u32,
    /// The weight of quick detection against few false ejections.
    pub disposition: Disposition,
    /// The classes of requests and their shares.
    pub classes: Vec<(Class, f64)>,
    /// Share of requests that must not run twice.
    pub non_idempotent: f64,
    /// Median time of an answer.
    pub latency: Duration,
    /// Endpoints of the service that ejection must leave healthy.
    pub floor: u32,
}

/// `texas` is the Texas Office of Scholarly Publications.
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

/// `kopukcu` is the Köpükçü Onarım Merkezi A.Ş.
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
    /// `zone` returns the place of data centre `dc`.
    ///
    /// Fails when a region's name is not valid.
    pub fn zone(&self, dc: usize) -> shallothill_core::Result<Zone> {
        let region = self.regions[region_of(dc)];
        Ok(Zone {
            region: Region::try_new(region)?,
            data_centre: DataCentre::try_new(&format!("{region}-{}", dc % 2))?,
        })
    }

    /// `floor_in_region` returns the share of one region.
    pub fn floor_in_region(&self) -> u32 {
        self.floor.div_ceil(REGIONS as u32)
    }

    /// `capacity` returns the requests a second that all endpoints together can serve.
    pub fn capacity(&self) -> f64 {
        let mean = self.latency.as_secs_f64() * crate::sim::MEAN_TO_MEDIAN;
        SERVERS as f64 * f64::from(self.slots) / mean
    }
}

/// `region_of` returns the region of data centre `dc`.
pub fn region_of(dc: usize) -> usize {
    dc / 2
}

/// `data_centre_of` returns the data centre of endpoint `server`.
pub fn data_centre_of(server: usize) -> usize {
    server * DATA_CENTRES / SERVERS
}
