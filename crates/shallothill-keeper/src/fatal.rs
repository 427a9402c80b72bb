//! Ends the process when it cannot continue safely.

use tokio::sync::mpsc;
use tracing::error;

/// `Fatal` reports failures after which the process must end; clones share one receiver.
#[derive(Clone, Debug)]
pub struct Fatal {
    tx: mpsc::UnboundedSender<String>,
}

impl Fatal {
    /// `new` returns a reporter and the receiver that the process waits on.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<String>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    /// `report` logs the failure and makes the process end.
    pub fn report(&self, message: String) {
        error!("{message}");
        // The receiver is dropped only when the process is already ending.
        let _ = self.tx.send(message);
    }
}
