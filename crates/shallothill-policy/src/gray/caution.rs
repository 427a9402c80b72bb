//! How much risk a request may take at a backend server that is suspected of gray failure.

// Refusals after which a request that must run at most once accepts any server below
// `refuse_above`; about the number of endpoints of a service in one region.
const SETTLE_AFTER_REFUSALS: usize = 3;

// Refusals after which no better backend server is likely to be left.
const INSIST_AFTER_REFUSALS: usize = 6;

/// `Caution` is the risk that a request may take at a backend server that may be in an episode of
/// gray failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Caution {
    /// The request may be a trial: if this backend server fails it, another one can run it.
    Try,
    /// Run it only where it will almost certainly succeed: it must run at most once, or a backend
    /// server has already failed it.
    Trust,
    /// Run it where it will probably succeed, because some gates have already refused it.
    Settle,
    /// Run it in any case, because no better backend server was found.
    Insist,
}

impl Caution {
    /// `for_request` returns the caution for a request that `refused` of `choices` gates have
    /// refused; `failed` tells whether a backend server has failed it.
    pub fn for_request(idempotent: bool, failed: bool, refused: u8, choices: usize) -> Self {
        let refused = usize::from(refused);
        match (idempotent, failed) {
            (true, _) if refused >= INSIST_AFTER_REFUSALS.min(choices.saturating_sub(1)) => {
                Self::Insist
            }
            (true, false) => Self::Try,
            _ if refused >= SETTLE_AFTER_REFUSALS.min(choices / 2) => Self::Settle,
            _ => Self::Trust,
        }
    }

    /// `as_str` returns the value of the caution header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Try => "try",
            Self::Trust => "trust",
            Self::Settle => "settle",
            Self::Insist => "insist",
        }
    }

    /// `from_name` parses the value of the caution header; an unknown value means the greatest
    /// caution, `Trust`.
    pub fn from_name(name: &str) -> Self {
        match name {
            "try" => Self::Try,
            "settle" => Self::Settle,
            "insist" => Self::Insist,
            _ => Self::Trust,
        }
    }
}
