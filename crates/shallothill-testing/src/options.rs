//! Options of a stand-in backend server.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use crate::behaviour::Behaviour;

/// `StandinOptions` tells where a stand-in listens and what it announces.
#[derive(Clone, Debug)]
pub struct StandinOptions {
    /// The address to listen on; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// The announce address of the node on its host, if it announces itself.
    pub announce: Option<SocketAddr>,
    /// The service that it serves.
    pub service: String,
    /// Its name among the endpoints of the service on its host.
    pub endpoint: String,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Time between two announcements; the lease is 10 s.
    pub announce_every: Duration,
    /// How it treats requests at first.
    pub behaviour: Behaviour,
    /// The file that receives its record as well, if given.
    pub record_file: Option<PathBuf>,
    /// Seeds the choice of the requests that fail.
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
