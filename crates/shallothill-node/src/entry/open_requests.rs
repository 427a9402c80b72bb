//! Counts the requests that an entry has taken and not answered yet.

use tokio::sync::watch;

/// `OpenRequests` is the number of requests that have no response yet.
#[derive(Debug, Default)]
pub struct OpenRequests(watch::Sender<usize>);

impl OpenRequests {
    /// `count` returns the current number.
    pub fn count(&self) -> usize {
        *self.0.borrow()
    }

    /// `start` counts a request until the returned guard is dropped.
    pub(super) fn start(&self) -> OpenRequest<'_> {
        self.0.send_modify(|open| *open += 1);
        OpenRequest(self)
    }

    /// `none_left` waits until every request has its response.
    pub async fn none_left(&self) {
        // `self` holds the sender, so the channel cannot close.
        let _ = self.0.subscribe().wait_for(|open| *open == 0).await;
    }
}

/// `OpenRequest` counts one request until it is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest<'a>(&'a OpenRequests);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.0.send_modify(|open| *open -= 1);
    }
}
