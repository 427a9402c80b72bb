//! Ends the process when it cannot go on safely.

use tokio::sync::mpsc;
use tracing::error;

/// `Fatal` reports a fault after which the process must end; clones report to the same place.
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

    /// `report` logs the fault and asks the process to end.
    pub fn report(&self, message: String) {
        error!("{message}");
        // The receiver is gone only when the process ends already.
        let _ = self.tx.send(message);
    }
}
