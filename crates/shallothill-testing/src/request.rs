//! One request of a caller with its resends, as the caller sees it.

use std::time::Duration;

use shallothill_core::outcome::Outcome;

/// `Send` is one time that a request was sent.
#[derive(Clone, Debug)]
pub struct Send {
    /// Its own [`crate::record::REQUEST_ID`].
    pub id: String,
    /// The outcome that the node reported, or `Unknown` without a complete answer.
    pub outcome: Outcome,
    /// The status, if there was a complete answer.
    pub status: Option<u16>,
    /// The node's reason for a refusal or a failure, if it gave one.
    pub reason: Option<String>,
    /// Whether the answer belongs to another request.
    pub wrong_answer: bool,
    /// Time until the answer was complete.
    pub took: Duration,
}

impl Send {
    /// `succeeded` tells whether a backend server's answer of success came back.
    pub fn succeeded(&self) -> bool {
        let success = self.status.is_some_and(|s| (200..300).contains(&s));
        self.outcome == Outcome::Answered && success
    }
}

/// `Request` is one request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Which of the deployment's kinds it is.
    pub kind: usize,
    /// The idempotency key of a non-idempotent request.
    pub key: Option<String>,
    /// Whether it was sent before the first fault.
    pub quiet: bool,
    /// The sends in their order; at least one.
    pub sends: Vec<Send>,
}

impl Request {
    /// `answered` tells whether any send succeeded.
    pub fn answered(&self) -> bool {
        self.sends.iter().any(Send::succeeded)
    }

    /// `refused` tells whether every send was refused as not run.
    pub fn refused(&self) -> bool {
        self.sends
            .iter()
            .all(|s| s.outcome == Outcome::RefusedNotRun)
    }
}
