//! Sends metrics to a statsd server.

use std::net::{SocketAddr, UdpSocket};

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

use crate::errors;

/// `QUEUE_MAX` bounds the metrics that wait to be sent; more are dropped.
const QUEUE_MAX: usize = 4096;

/// `statsd_client` returns a client that sends to `address`, or drops everything without one.
///
/// Fails with `MetricsSocket` when no local socket can be opened.
pub fn statsd_client(prefix: &str, address: Option<SocketAddr>) -> errors::Result<StatsdClient> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(prefix, NopMetricSink));
    };
    let fail = |message: String| errors::MetricsSocketSnafu { address, message }.build();
    let local: SocketAddr = if address.is_ipv4() {
        SocketAddr::from(([0, 0, 0, 0], 0))
    } else {
        SocketAddr::from(([0u16; 8], 0))
    };
    let socket = UdpSocket::bind(local).map_err(|e| fail(e.to_string()))?;
    socket
        .set_nonblocking(true)
        .map_err(|e| fail(e.to_string()))?;
    let sink = UdpMetricSink::from(address, socket).map_err(|e| fail(e.to_string()))?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE_MAX);
    Ok(StatsdClient::from_sink(prefix, queue))
}
