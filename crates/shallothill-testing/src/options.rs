//! Options of a stand-in backend server.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use crate::behaviour::Behaviour;

/// `StandinOptions` sets where a stand-in listens, what it announces and how it behaves at first.
#[derive(Clone, Debug)]
pub struct StandinOptions {
    /// The address to listen on; with port 0 the system chooses a free port.
    pub listen: SocketAddr,
    /// The announce address of the node on its host; `None` turns announcements off.
    pub announce: Option<SocketAddr>,
    /// The name of the service that it belongs to.
    pub service: String,
    /// The endpoint name, unique among the endpoints of the service on its host.
    pub endpoint: String,
    /// The number of concurrent requests that it announces.
    pub slots: u16,
    /// Interval between announcements; the lease of one is 10 s.
    pub announce_every: Duration,
    /// The behaviour at the start.
    pub behaviour: Behaviour,
    /// A file to which the request record is also written, if given.
    pub record_file: Option<PathBuf>,
    /// Seed of the random choice of requests that fail, are shed or are truncated.
    pub seed: u64,
}

impl Default for StandinOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            announce: None,
            service: String::from("service"),
            endpoint: String::from("e1"),
            slots: 5,
            announce_every: Duration::from_secs(3),
            behaviour: Behaviour::default(),
            record_file: None,
            seed: 1,
        }
    }
}
