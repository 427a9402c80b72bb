//! The sockets that a keeper listens on.

use shallothill_runtime::settings;
use tokio::net::TcpListener;

use crate::errors;
use crate::settings::Settings;

/// `Listeners` holds the bound sockets of a keeper.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts nodes.
    pub control: TcpListener,
    /// Accepts other keepers.
    pub peer: TcpListener,
    /// Accepts operators, on the admin address.
    pub admin: TcpListener,
}

impl Listeners {
    /// `bind` binds the control, peer and admin addresses of `settings`.
    ///
    /// Fails with `Runtime` when an address is in use.
    pub async fn bind(settings: &Settings) -> errors::Result<Self> {
        Ok(Self {
            control: settings::bind(settings.control_address, "nodes").await?,
            peer: settings::bind(settings.peer_address, "keepers").await?,
            admin: settings::bind(settings.process.admin_address, "operators").await?,
        })
    }
}
