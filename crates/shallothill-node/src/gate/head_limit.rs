//! Bounds the bytes that a backend server may send before its response head is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// `MAX_HEAD_BYTES` bounds the bytes up to the end of the response head. It leaves room for interim
/// responses and for the part of the body that is read together with the head.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// `HeadLimit` holds the number of bytes that may still be read, or `usize::MAX` while no limit
/// applies: between requests and while a body is read.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// `new` builds a limit that is not in effect.
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// `start` puts the limit into effect when a request is sent.
    pub(crate) fn start(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// `lift` ends the limit when the response head is complete.
    pub(crate) fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    fn consume(&self, bytes: usize) -> io::Result<()> {
        let subtract = |remaining: usize| match remaining {
            usize::MAX => Some(remaining),
            _ => remaining.checked_sub(bytes),
        };
        let consumed = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        let too_long = |_| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "the response head exceeds the size limit",
            )
        };
        consumed.map(|_| ()).map_err(too_long)
    }
}

/// `is_exceeded` tells whether reading failed because the response head exceeded the limit.
pub(crate) fn is_exceeded(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::InvalidData
}

/// `HeadLimitedStream` applies a [`HeadLimit`] to what is read from a stream.
#[derive(Debug)]
pub(crate) struct HeadLimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> HeadLimitedStream<S> {
    /// `new` wraps `stream`; `limit` is shared with the sender of requests.
    pub(crate) fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.limit.consume(buf.filled().len() - before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
