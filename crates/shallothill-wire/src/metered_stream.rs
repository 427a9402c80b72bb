//! A TCP connection that counts the bytes that it receives.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// `ReceivedBytes` is the number of bytes that a connection has received; clones share it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// `count` returns the number of bytes received so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// `MeteredStream` is a TCP connection whose received bytes are counted.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    received: ReceivedBytes,
}

impl MeteredStream {
    /// `new` counts the bytes that `stream` receives from now on.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: ReceivedBytes::default(),
        }
    }

    /// `received` returns the count, which stays current.
    pub fn received(&self) -> ReceivedBytes {
        self.received.clone()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len().saturating_sub(before);
        self.received.0.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
