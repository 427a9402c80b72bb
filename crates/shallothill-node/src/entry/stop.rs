//! The planned stop of an entry: each request that it has taken is answered before the node ends.

use std::time::Duration;

use tokio::time;
use tokio::time::Instant;

use crate::entry::Entry;
use crate::refusal::Refusal;

/// `REPLY_MARGIN` is the time before the end of the node by which replies of gates are needed, so
/// that they reach the callers.
const REPLY_MARGIN: Duration = Duration::from_millis(250);

/// `FINAL_ANSWER_DELAY` is the time after which requests whose reply is missing are answered
/// without it. It is shorter than `REPLY_MARGIN`, so that these answers reach the callers as well.
const FINAL_ANSWER_DELAY: Duration = Duration::from_millis(150);

impl Entry {
    /// `start_draining` makes the node unready and closes connections after their next response, so
    /// that callers move to another node. Requests that still arrive are served as far as they can
    /// be answered until the node ends at `ends_at`.
    pub fn start_draining(&self, ends_at: Instant) {
        let reply_by = ends_at.checked_sub(REPLY_MARGIN);
        self.reply_by.set(reply_by.unwrap_or(ends_at));
    }

    /// `draining` tells whether [`Self::start_draining`] was called.
    pub fn draining(&self) -> bool {
        self.reply_by.get().is_some()
    }

    /// `check_time_left` fails once the node ends too soon for another attempt.
    pub(super) fn check_time_left(&self) -> Result<(), Refusal> {
        let ended = self.reply_by.get().is_some_and(|at| at <= Instant::now());
        if ended { Err(STOPPING) } else { Ok(()) }
    }

    /// `final_answer_due` waits until the node is about to end.
    pub(super) async fn final_answer_due(&self) {
        self.reply_by.reached().await;
        time::sleep(FINAL_ANSWER_DELAY).await;
    }
}

const STOPPING: Refusal = Refusal::not_run(
    "stopping",
    "the node stops before the request can be answered; send it to another node",
);

/// `STOPPED` answers a request whose attempt is still in flight when the node ends.
pub(super) const STOPPED: Refusal = Refusal::unknown(
    "stopped",
    "the node stops before the backend server has answered; the request may have run",
);
