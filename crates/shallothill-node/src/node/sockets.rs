//! The listening sockets of a node.

use std::net::SocketAddr;

use shallothill_runtime::settings;
use tokio::net::TcpListener;

use crate::errors;
use crate::node::ListenAddresses;
use crate::settings::Settings;

/// `Sockets` are the listening sockets of a node.
#[derive(Debug)]
pub(super) struct Sockets {
    pub(super) caller: TcpListener,
    pub(super) peer: TcpListener,
    pub(super) announce: TcpListener,
    pub(super) admin: TcpListener,
}

impl Sockets {
    /// `bind` opens all sockets.
    pub(super) async fn bind(s: &Settings) -> errors::Result<Self> {
        Ok(Self {
            caller: settings::bind(s.caller_address, "callers").await?,
            peer: settings::bind(s.peer_address, "other nodes").await?,
            announce: settings::bind(s.announce_address, "announcements").await?,
            admin: settings::bind(s.process.admin_address, "the admin endpoint").await?,
        })
    }

    /// `addresses` returns the bound addresses, with the ports that were chosen.
    pub(super) fn addresses(&self, s: &Settings) -> ListenAddresses {
        let of = |socket: &TcpListener, set: SocketAddr| socket.local_addr().unwrap_or(set);
        ListenAddresses {
            caller: of(&self.caller, s.caller_address),
            peer: of(&self.peer, s.peer_address),
            announce: of(&self.announce, s.announce_address),
            admin: of(&self.admin, s.process.admin_address),
        }
    }
}
