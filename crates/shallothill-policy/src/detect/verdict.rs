//! What the evidence says.

/// `Reason` is the kind of evidence that weighs most.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureMode {
    /// Requests in flight grow old without being answered.
    Stalled,
    /// Answers take far longer than is usual for the service.
    Slow,
    /// Answers are errors, or connections break.
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

/// `Verdict` is what the evidence says about a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Healthy,
    /// Evidence has passed the threshold, but a fresh comparison with the service is missing:
    /// demote, do not eject.
    Suspect(FailureMode),
    /// The evidence stands while the service as a whole is well: eject if a lease allows it.
    Unhealthy(FailureMode),
}
