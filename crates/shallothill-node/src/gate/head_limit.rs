//! Bounds the bytes that a backend server may send before the head of its answer is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// `HEAD_MAX_BYTES` leaves room for interim answers and for the part of the body that is read together
/// with the head.
const HEAD_MAX_BYTES: usize = 256 * 1024;

/// `HeadLimit` holds the bytes that may still be read; no bound applies between requests and to bodies.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// `new` builds a limit that is lifted.
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// `start` bounds what is read from now on.
    pub(crate) fn start(&self) {
        self.0.store(HEAD_MAX_BYTES, Ordering::Relaxed);
    }

    /// `lift` ends the bound: the head is complete.
    pub(crate) fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let counted = |left: usize| match left {
            usize::MAX => Some(left),
            _ => left.checked_sub(bytes),
        };
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, counted);
        let too_long = |_| io::Error::new(io::ErrorKind::InvalidData, "the head does not end");
        taken.map(|_| ()).map_err(too_long)
    }
}

/// `is_exceeded` tells whether reading failed because the head did not end within the limit.
pub(crate) fn is_exceeded(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::InvalidData
}

/// `Limited` reads from a stream within a [`HeadLimit`].
#[derive(Debug)]
pub(crate) struct Limited<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> Limited<S> {
    /// `new` reads from `stream` within `limit`.
    pub(crate) fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.limit.take(buf.filled().len() - before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
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
