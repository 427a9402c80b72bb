//! A caller's request with its resends and their results, as the caller observes them.

use std::time::Duration;

use shallothill_core::outcome::Outcome;

/// `Send` is one attempt to send a request, with its result.
#[derive(Clone, Debug)]
pub struct Send {
    /// The value of [`crate::record::REQUEST_ID`], unique to this attempt.
    pub id: String,
    /// The outcome that the node reported, or `Unknown` without a complete response.
    pub outcome: Outcome,
    /// The HTTP status, if a complete response arrived.
    pub status: Option<u16>,
    /// The reason for a refusal or a failure that the node reported, if any.
    pub reason: Option<String>,
    /// Whether the response belongs to another request.
    pub wrong_answer: bool,
    /// Time until the response was complete or the attempt failed.
    pub latency: Duration,
}

impl Send {
    /// `succeeded` returns whether a backend server answered with a 2xx status.
    pub fn succeeded(&self) -> bool {
        let success = self.status.is_some_and(|s| (200..300).contains(&s));
        self.outcome == Outcome::Answered && success
    }
}

/// `Request` is one logical request of a caller, with all attempts to send it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index into the request kinds of the deployment.
    pub kind: usize,
    /// The idempotency key; `None` for an idempotent request.
    pub key: Option<String>,
    /// Whether it was first sent before the first fault.
    pub before_faults: bool,
    /// The attempts in the order in which they were sent; at least one.
    pub sends: Vec<Send>,
}

impl Request {
    /// `answered` returns whether any attempt succeeded.
    pub fn answered(&self) -> bool {
        self.sends.iter().any(Send::succeeded)
    }

    /// `refused` returns whether the node refused every attempt as not run.
    pub fn refused(&self) -> bool {
        self.sends
            .iter()
            .all(|s| s.outcome == Outcome::RefusedNotRun)
    }
}
