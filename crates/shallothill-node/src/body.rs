//! Message bodies that are passed on with bounded memory.

use std::error;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time;
use tokio::time::{Instant, Sleep};

use crate::entry;
use crate::gate;

/// `BodyError` is why a body ended early.
#[derive(Debug)]
pub enum BodyError {
    /// The body is larger than allowed.
    TooLarge,
    /// The deadline of the request passed.
    Deadline,
    /// The sender broke off.
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

/// `Guards` are told how the body ended: `finished` after its end, dropped when it was cut off.
#[derive(Debug, Default)]
pub struct Guards {
    /// Holds the slot at the backend server.
    pub gate: Option<gate::RunningRequest>,
    /// Holds the caller's place at the entry node.
    pub entry: Option<Box<entry::InFlight>>,
}

impl Guards {
    fn finished(&mut self) {
        if let Some(running) = self.gate.take() {
            running.complete();
        }
        if let Some(in_flight) = self.entry.take() {
            in_flight.finished();
        }
    }
}

/// `Body` is a message body: bytes that were read already, then the rest of a stream.
///
/// It ends with an error when the stream breaks off, so that a truncated message is never passed
/// on as a whole one.
#[derive(Debug)]
pub struct Body {
    first: Option<Bytes>,
    rest: Option<Incoming>,
    left: u64,
    until: Option<Pin<Box<Sleep>>>,
    guards: Guards,
}

impl Body {
    /// `empty` builds a body without content.
    pub fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// `full` builds a body from bytes.
    pub fn full(bytes: Bytes) -> Self {
        Self {
            first: Some(bytes).filter(|b| !b.is_empty()),
            rest: None,
            left: 0,
            until: None,
            guards: Guards::default(),
        }
    }

    /// `stream` builds a body from bytes that were read and the rest, of at most `left` bytes.
    pub fn stream(first: Bytes, rest: Incoming, left: u64) -> Self {
        Self {
            rest: Some(rest),
            left,
            ..Self::full(first)
        }
    }

    /// `with_deadline` ends the body with an error at `deadline`.
    pub fn with_deadline(mut self, deadline: Instant) -> Self {
        if self.rest.is_some() {
            self.until = Some(Box::pin(time::sleep_until(deadline)));
        }
        self
    }

    /// `with_gate_guard` tells `running` how the body ends.
    pub fn with_gate_guard(mut self, running: gate::RunningRequest) -> Self {
        self.guards.gate = Some(running);
        self.tell_if_ended();
        self
    }

    /// `with_entry_guard` tells `in_flight` how the body ends.
    pub fn with_entry_guard(mut self, in_flight: entry::InFlight) -> Self {
        self.guards.entry = Some(Box::new(in_flight));
        self.tell_if_ended();
        self
    }

    /// `is_buffered` tells whether all of the content is in memory.
    pub fn is_buffered(&self) -> bool {
        self.rest.is_none()
    }

    /// `take_buffered` returns the content when all of it is in memory.
    pub fn take_buffered(&mut self) -> Option<Bytes> {
        if self.rest.is_some() {
            return None;
        }
        Some(self.first.take().unwrap_or_default())
    }

    // A body without content is never polled by some senders.
    fn tell_if_ended(&mut self) {
        let ended = match &self.rest {
            None => self.first.is_none(),
            Some(rest) => self.first.is_none() && http_body::Body::is_end_stream(rest),
        };
        if ended {
            self.guards.finished();
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
        if let Some(first) = self.first.take() {
            self.tell_if_ended();
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = self.rest.as_mut() else {
            self.guards.finished();
            return Poll::Ready(None);
        };
        match Pin::new(rest).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let len = frame.data_ref().map_or(0, Bytes::len) as u64;
                if len > self.left {
                    return self.fail(BodyError::TooLarge);
                }
                self.left -= len;
                self.tell_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(e))) => self.fail(BodyError::Truncated(e)),
            Poll::Ready(None) => {
                self.rest = None;
                self.guards.finished();
                Poll::Ready(None)
            }
            Poll::Pending => match self.until.as_mut().map(|s| s.as_mut().poll(cx)) {
                Some(Poll::Ready(())) => self.fail(BodyError::Deadline),
                _ => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none()
            && self
                .rest
                .as_ref()
                .is_none_or(http_body::Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(first);
        };
        let hint = http_body::Body::size_hint(rest);
        let mut sum = SizeHint::new();
        if let Some(upper) = hint.upper() {
            sum.set_upper(upper.saturating_add(first));
        }
        sum.set_lower(hint.lower().saturating_add(first));
        sum
    }
}
