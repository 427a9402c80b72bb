//! The listening sockets of a node.

use std::net::SocketAddr;

use shallothill_runtime::settings;
use tokio::net::TcpListener;

use crate::errors;
use crate::node::ListenAddresses;
use crate::settings::Settings;

/// `Sockets` contains the bound listening sockets.
#[derive(Debug)]
pub(super) struct Sockets {
    pub(super) caller: TcpListener,
    pub(super) peer: TcpListener,
    pub(super) announce: TcpListener,
    pub(super) admin: TcpListener,
}

impl Sockets {
    /// `bind` opens all sockets. Fails with `Runtime` if an address is in use.
    pub(super) async fn bind(s: &Settings) -> errors::Result<Self> {
        Ok(Self {
            caller: settings::bind(s.caller_address, "callers").await?,
            peer: settings::bind(s.peer_address, "other nodes").await?,
            announce: settings::bind(s.announce_address, "announcements").await?,
            admin: settings::bind(s.process.admin_address, "the admin endpoint").await?,
        })
    }

    /// `addresses` returns the bound addresses, with the actual port if the settings give port 0.
    pub(super) fn addresses(&self, s: &Settings) -> ListenAddresses {
        let bound = |socket: &TcpListener, configured: SocketAddr| {
            socket.local_addr().unwrap_or(configured)
        };
        ListenAddresses {
            caller: bound(&self.caller, s.caller_address),
            peer: bound(&self.peer, s.peer_address),
            announce: bound(&self.announce, s.announce_address),
            admin: bound(&self.admin, s.process.admin_address),
        }
    }
}
