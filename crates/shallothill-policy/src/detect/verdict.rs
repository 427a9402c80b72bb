//! The result of failure detection.

/// `FailureMode` is the kind of fault that the evidence points to most.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureMode {
    /// Requests in flight stay unanswered.
    Stalled,
    /// Responses take far longer than is normal for the service.
    Slow,
    /// Responses are errors, or connections break.
    Errors,
}

impl FailureMode {
    /// `as_str` returns the name used in logs and dumps.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Slow => "slow",
            Self::Errors => "errors",
        }
    }
}

/// `Verdict` is the judgement on a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The evidence is below the threshold.
    Healthy,
    /// The evidence is above the threshold, but has not lasted long enough or was not compared with
    /// a fresh summary of the service: demote the server, don't eject it.
    Suspect(FailureMode),
    /// The evidence lasted while the service as a whole is healthy: eject the server if a lease
    /// permits it.
    Unhealthy(FailureMode),
}
