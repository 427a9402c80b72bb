//! Reserves the bytes of messages that are not complete.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use shallothill_runtime::memory::{Holder, InputMeter};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::frame_codec::HEADER_BYTES;

/// `FrameMeter` follows the messages in the bytes of a connection.
#[derive(Debug, Default)]
struct FrameMeter {
    header: [u8; HEADER_BYTES],
    header_read: usize,
    body_left: usize,
    /// The bytes since the end of the last complete message.
    incomplete: usize,
}

impl FrameMeter {
    // Returns the number of bytes that belong to an incomplete message.
    fn read(&mut self, mut bytes: &[u8]) -> usize {
        while let Some((first, rest)) = bytes.split_first() {
            self.incomplete += 1;
            if self.header_read < HEADER_BYTES {
                self.header[self.header_read] = *first;
                self.header_read += 1;
                bytes = rest;
                if self.header_read == HEADER_BYTES {
                    self.body_left = u32::from_be_bytes(self.header) as usize;
                }
            } else {
                let read = bytes.len().min(self.body_left);
                self.body_left -= read;
                self.incomplete += read - 1;
                bytes = &bytes[read..];
            }
            if self.header_read == HEADER_BYTES && self.body_left == 0 {
                self.header_read = 0;
                self.incomplete = 0;
            }
        }
        self.incomplete
    }
}

/// `FrameMeteredStream` reads the messages of a connection within reservations that grow as they
/// arrive, whatever length they announce.
#[derive(Debug)]
pub struct FrameMeteredStream<S> {
    stream: S,
    meter: InputMeter,
    frames: FrameMeter,
}

impl<S> FrameMeteredStream<S> {
    /// `new` reserves for `holder` what it reads from `stream`; a message has at most `max_bytes`.
    pub fn new(stream: S, holder: Holder, max_bytes: usize) -> Self {
        Self {
            stream,
            meter: InputMeter::new(holder, max_bytes + HEADER_BYTES),
            frames: FrameMeter::default(),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FrameMeteredStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.meter.poll_ready(cx))?;
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let holder = this.meter.holder();
        if polled.is_ready() {
            let read = buf.filled().get(before..).unwrap_or_default();
            this.meter.record_read(read.len());
            let incomplete = this.frames.read(read);
            this.meter.consumed(incomplete);
        } else if this.frames.incomplete > 0 {
            holder.start_waiting();
        } else {
            holder.stop_waiting();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FrameMeteredStream<S> {
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
