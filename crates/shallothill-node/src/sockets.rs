//! Options of TCP sockets.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// `MAX_UNACKNOWLEDGED` is the time after which a connection is closed whose bytes the other host
/// does not acknowledge. It leaves room for two retransmissions between regions.
const MAX_UNACKNOWLEDGED: Duration = Duration::from_millis(700);

/// `limit_unacknowledged` closes a connection whose bytes are lost without an error, such as one
/// that a firewall has forgotten.
///
/// Fails when the socket is closed already.
pub(crate) fn limit_unacknowledged(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(MAX_UNACKNOWLEDGED))
}
