//! Message bodies that are streamed with bounded memory.

use std::error;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use tokio::time;
use tokio::time::{Instant, Sleep};

use crate::entry;
use crate::gate;
use crate::unread_body::UnreadBody;

/// `BodyError` is why a body ended early.
#[derive(Debug)]
pub enum BodyError {
    /// The body is larger than the route allows.
    TooLarge,
    /// The deadline of the request has passed.
    Deadline,
    /// The sender closed the connection before the end of the body.
    Truncated(hyper::Error),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the body is larger than the route allows"),
            Self::Deadline => f.write_str("the deadline passed before the body ended"),
            Self::Truncated(e) => write!(f, "the body ended early: {e}"),
        }
    }
}

impl error::Error for BodyError {}

/// `CompletionGuards` are completed when the body ends, and dropped when it is cut off.
#[derive(Debug, Default)]
pub struct CompletionGuards {
    /// Holds the slot at the backend server and the connection to it.
    pub gate: Option<gate::RunningRequest>,
    /// Holds the caller's limit permit and the in-flight count at the entry node.
    pub entry: Option<Box<entry::InFlight>>,
}

impl CompletionGuards {
    fn complete(&mut self) {
        if let Some(running) = self.gate.take() {
            running.complete();
        }
        if let Some(in_flight) = self.entry.take() {
            in_flight.complete();
        }
    }
}

/// `Body` is a message body: bytes that were read already, followed by the rest of a stream.
///
/// It ends with an error when the stream is cut off, so that a truncated message is never passed on
/// as a complete one.
#[derive(Debug)]
pub struct Body {
    buffered: Option<Bytes>,
    rest: Option<UnreadBody>,
    remaining_bytes: u64,
    deadline: Option<Pin<Box<Sleep>>>,
    /// Holds the content back.
    hold: Option<Pin<Box<Sleep>>>,
    guards: CompletionGuards,
}

impl Body {
    /// `empty` builds a body without content.
    pub fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// `full` builds a body whose content is in memory.
    pub fn full(bytes: Bytes) -> Self {
        Self {
            buffered: Some(bytes).filter(|b| !b.is_empty()),
            rest: None,
            remaining_bytes: 0,
            deadline: None,
            hold: None,
            guards: CompletionGuards::default(),
        }
    }

    /// `stream` builds a body from the bytes that were read and the rest of the stream, which may
    /// have at most `remaining_bytes` bytes.
    pub fn stream(buffered: Bytes, rest: impl Into<UnreadBody>, remaining_bytes: u64) -> Self {
        Self {
            rest: Some(rest.into()),
            remaining_bytes,
            ..Self::full(buffered)
        }
    }

    /// `with_deadline` ends a streamed body with an error at `deadline`.
    pub fn with_deadline(mut self, deadline: Instant) -> Self {
        if self.rest.is_some() {
            self.deadline = Some(Box::pin(time::sleep_until(deadline)));
        }
        self
    }

    /// `held_for` keeps the content back for `time`, in which the receiver of the headers may refuse
    /// the request.
    pub fn held_for(mut self, time: Duration) -> Self {
        self.hold = Some(Box::pin(time::sleep(time)));
        self
    }

    /// `discarding_rest` reads the rest of a streamed body until `deadline` if it is dropped early,
    /// so that its sender gets the response.
    pub fn discarding_rest(mut self, deadline: Instant) -> Self {
        if let Some(rest) = &mut self.rest {
            rest.discard_rest(self.remaining_bytes, deadline);
        }
        self
    }

    /// `with_gate_guard` completes `running` when the body ends, and aborts or drops it when the
    /// body is cut off.
    pub fn with_gate_guard(mut self, running: gate::RunningRequest) -> Self {
        self.guards.gate = Some(running);
        self.complete_if_ended();
        self
    }

    /// `with_entry_guard` finishes `in_flight` when the body ends, and drops it when the body is
    /// cut off.
    pub fn with_entry_guard(mut self, in_flight: entry::InFlight) -> Self {
        self.guards.entry = Some(Box::new(in_flight));
        self.complete_if_ended();
        self
    }

    /// `is_buffered` tells whether the complete content is in memory.
    pub fn is_buffered(&self) -> bool {
        self.rest.is_none()
    }

    /// `buffered` returns the content if it is completely in memory.
    pub fn buffered(&self) -> Option<Bytes> {
        let complete = self.is_buffered();
        complete.then(|| self.buffered.clone().unwrap_or_default())
    }

    /// `take_buffered` takes the content if it is completely in memory.
    pub fn take_buffered(&mut self) -> Option<Bytes> {
        if self.rest.is_some() {
            return None;
        }
        Some(self.buffered.take().unwrap_or_default())
    }

    // Completes the guards when no content is left, since some senders never poll such a body.
    fn complete_if_ended(&mut self) {
        let ended = match &self.rest {
            None => self.buffered.is_none(),
            Some(rest) => self.buffered.is_none() && rest.is_end_stream(),
        };
        if ended {
            self.guards.complete();
        }
    }

    fn fail(&mut self, e: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.rest = None;
        let guards = std::mem::take(&mut self.guards);
        if let (Some(running), BodyError::Truncated(_)) = (guards.gate, &e) {
            running.abort();
        }
        Poll::Ready(Some(Err(e)))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(hold) = &mut self.hold {
            std::task::ready!(hold.as_mut().poll(cx));
            self.hold = None;
        }
        if let Some(buffered) = self.buffered.take() {
            self.complete_if_ended();
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some(rest) = self.rest.as_mut() else {
            self.guards.complete();
            return Poll::Ready(None);
        };
        match Pin::new(rest).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let len = frame.data_ref().map_or(0, Bytes::len) as u64;
                if len > self.remaining_bytes {
                    return self.fail(BodyError::TooLarge);
                }
                self.remaining_bytes -= len;
                self.complete_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(e))) => self.fail(BodyError::Truncated(e)),
            Poll::Ready(None) => {
                self.rest = None;
                self.guards.complete();
                Poll::Ready(None)
            }
            Poll::Pending => match self.deadline.as_mut().map(|s| s.as_mut().poll(cx)) {
                Some(Poll::Ready(())) => self.fail(BodyError::Deadline),
                _ => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none()
            && self
                .rest
                .as_ref()
                .is_none_or(http_body::Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, Bytes::len) as u64;
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(buffered);
        };
        let hint = rest.size_hint();
        let mut sum = SizeHint::new();
        if let Some(upper) = hint.upper() {
            sum.set_upper(upper.saturating_add(buffered));
        }
        sum.set_lower(hint.lower().saturating_add(buffered));
        sum
    }
}
