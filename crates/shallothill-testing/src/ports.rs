//! Free ports for processes that need a fixed address in their settings.

use std::net::{IpAddr, SocketAddr, TcpListener};

use snafu::ResultExt;

use crate::errors;
use crate::process;

/// `free` returns `n` distinct addresses on `ip` whose ports were free at the time of the call.
///
/// Fails with `Listen` when no port is free.
pub fn free(ip: IpAddr, n: usize) -> errors::Result<Vec<SocketAddr>> {
    let address = SocketAddr::new(ip, 0);
    process::without_spawns(|| bind_addresses(address, n))
}

fn bind_addresses(address: SocketAddr, n: usize) -> errors::Result<Vec<SocketAddr>> {
    // All listeners stay open until the end, so that no port is returned twice.
    let listeners = (0..n).map(|_| TcpListener::bind(address));
    let listeners: Vec<TcpListener> = listeners
        .collect::<Result<_, _>>()
        .context(errors::ListenSnafu { address })?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<_, _>>()
        .context(errors::ListenSnafu { address })
}
