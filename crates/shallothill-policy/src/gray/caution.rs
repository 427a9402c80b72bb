//! How much a request may risk at a suspected backend server.

// About the endpoints of a service in one region.
const SETTLE_AFTER: usize = 3;

// More refusals in a row than this mean that no better backend server is left.
const INSIST_AFTER: usize = 6;

/// `Caution` tells what may be done with a request whose backend server may be in a spell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Caution {
    /// It may be a trial: another backend server can run it if this one fails.
    Try,
    /// It is to be run only where it will almost certainly be served: it may run once at most, or
    /// was failed already.
    Trust,
    /// It is to be run where it will probably be served, because some gates have refused it.
    Settle,
    /// It is to be run anyway, because no better backend server was found.
    Insist,
}

impl Caution {
    /// `of` returns the caution for a request that `refused` of `choices` gates have refused; `failed`
    /// tells whether a backend server has failed it.
    pub fn for_request(idempotent: bool, failed: bool, refused: u8, choices: usize) -> Self {
        let refused = usize::from(refused);
        match (idempotent, failed) {
            (true, _) if refused >= INSIST_AFTER.min(choices.saturating_sub(1)) => Self::Insist,
            (true, false) => Self::Try,
            _ if refused >= SETTLE_AFTER.min(choices / 2) => Self::Settle,
            _ => Self::Trust,
        }
    }

    /// `as_str` returns the name used in headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Try => "try",
            Self::Trust => "trust",
            Self::Settle => "settle",
            Self::Insist => "insist",
        }
    }

    /// `from_name` reads a name; an unknown one stands for the greatest caution.
    pub fn from_name(name: &str) -> Self {
        match name {
            "try" => Self::Try,
            "settle" => Self::Settle,
            "insist" => Self::Insist,
            _ => Self::Trust,
        }
    }
}
