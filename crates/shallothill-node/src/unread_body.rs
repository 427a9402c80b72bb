//! Bodies that are still arriving, also after their request was answered.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time;
use tokio::time::Instant;

/// `UnreadBody` is a body that is still arriving.
///
/// When a caller's body is dropped before its end, the rest is read and discarded. Otherwise the
/// connection would be reset while the caller still writes, and the caller would lose the response.
#[derive(Debug)]
pub struct UnreadBody {
    incoming: Option<Incoming>,
    discard: Option<DiscardLimits>,
}

/// `DiscardLimits` bounds what is read of a body that nobody needs.
#[derive(Clone, Copy, Debug)]
struct DiscardLimits {
    bytes: u64,
    deadline: Instant,
}

impl UnreadBody {
    /// `empty` is a body without content.
    pub fn empty() -> Self {
        Self {
            incoming: None,
            discard: None,
        }
    }

    /// `new` reads `incoming`; a drop before its end closes the stream.
    pub fn new(incoming: Incoming) -> Self {
        Self {
            incoming: Some(incoming),
            discard: None,
        }
    }

    /// `discard_rest` makes a drop read on, at most `bytes` bytes and until `deadline`.
    pub fn discard_rest(&mut self, bytes: u64, deadline: Instant) {
        self.discard = Some(DiscardLimits { bytes, deadline });
    }
}

impl From<Incoming> for UnreadBody {
    fn from(incoming: Incoming) -> Self {
        Self::new(incoming)
    }
}

impl http_body::Body for UnreadBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(incoming) = self.incoming.as_mut() else {
            return Poll::Ready(None);
        };
        let polled = http_body::Body::poll_frame(Pin::new(incoming), cx);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.incoming = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming
            .as_ref()
            .is_none_or(http_body::Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming
            .as_ref()
            .map_or_else(|| SizeHint::with_exact(0), http_body::Body::size_hint)
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        let ended = http_body::Body::is_end_stream(self);
        if let (Some(limits), Some(incoming), false) = (self.discard, self.incoming.take(), ended) {
            tokio::spawn(discard(incoming, limits));
        }
    }
}

async fn discard(incoming: Incoming, limits: DiscardLimits) {
    let bytes = usize::try_from(limits.bytes).unwrap_or(usize::MAX);
    let mut rest = Limited::new(incoming, bytes);
    let read = async { while let Some(Ok(_)) = rest.frame().await {} };
    let _ = time::timeout_at(limits.deadline, read).await;
}
