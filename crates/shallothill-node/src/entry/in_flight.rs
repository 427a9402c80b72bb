//! What a request holds at its entry node until its answer has ended.

use shallothill_policy::limits::Permit;
use shallothill_policy::pick;

/// `InFlight` holds the caller's place and the count of the picked backend server.
#[derive(Debug)]
pub struct InFlight {
    _permit: Option<Permit>,
    _picked: Option<pick::InFlight>,
}

impl InFlight {
    /// `new` holds both until it is dropped.
    pub fn new(permit: Option<Permit>, picked: Option<pick::InFlight>) -> Self {
        Self {
            _permit: permit,
            _picked: picked,
        }
    }
}
