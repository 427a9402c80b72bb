//! Sends metrics to a statsd server over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

use crate::errors;

/// `QUEUE_MAX_METRICS` bounds the metrics that wait to be sent; further ones are dropped.
const QUEUE_MAX_METRICS: usize = 4096;

/// `statsd_client` returns a client that sends to `address`, or discards all metrics if it is
/// `None`.
///
/// Fails with `MetricsSocket` when no local socket can be opened.
pub fn statsd_client(prefix: &str, address: Option<SocketAddr>) -> errors::Result<StatsdClient> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(prefix, NopMetricSink));
    };
    let socket_error = |message: String| errors::MetricsSocketSnafu { address, message }.build();
    let local: SocketAddr = if address.is_ipv4() {
        SocketAddr::from(([0, 0, 0, 0], 0))
    } else {
        SocketAddr::from(([0u16; 8], 0))
    };
    let socket = UdpSocket::bind(local).map_err(|e| socket_error(e.to_string()))?;
    socket
        .set_nonblocking(true)
        .map_err(|e| socket_error(e.to_string()))?;
    let sink = UdpMetricSink::from(address, socket).map_err(|e| socket_error(e.to_string()))?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE_MAX_METRICS);
    Ok(StatsdClient::from_sink(prefix, queue))
}
