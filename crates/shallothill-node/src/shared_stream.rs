//! A TCP connection whose end can be noticed beside its reader.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BufMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time;

/// `UNREAD_PAUSE` is the time between two looks at a connection with unread bytes, which hide its
/// end.
const UNREAD_PAUSE: Duration = Duration::from_millis(100);

/// `READ_BYTES` bounds one read, so that the memory for what it contains can be reserved before the
/// next.
pub(crate) const READ_BYTES: usize = 16 * 1024;

/// `SharedStream` is a connection that is closed when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// `new` shares `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// `closed` returns once the peer has closed the connection and all bytes before have been
    /// read.
    pub async fn closed(&self) {
        let mut byte = [0];
        while let Ok(1..) = self.0.peek(&mut byte).await {
            time::sleep(UNREAD_PAUSE).await;
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            // Does not clear the buffer first, as that would use memory for bytes that never arrive.
            match self.0.try_read_buf(&mut buf.limit(READ_BYTES)) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
