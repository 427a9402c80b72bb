//! What a request holds at its entry node until its answer has ended.

use shallothill_policy::limits::Permit;
use shallothill_policy::pick;
use shallothill_runtime::timer::Timer;

use crate::crashes::QuarantinePermit;

/// `InFlight` holds the caller's place and the count of the picked backend server.
#[derive(Debug)]
pub struct InFlight {
    _permit: Option<Permit>,
    _picked: Option<pick::InFlight>,
    answer: Option<(QuarantinePermit, Timer)>,
}

impl InFlight {
    /// `new` holds both until it is dropped.
    pub fn new(permit: Option<Permit>, picked: Option<pick::InFlight>) -> Self {
        Self {
            _permit: permit,
            _picked: picked,
            answer: None,
        }
    }

    /// `with_answer` notes an answer of the request of `place` once it has ended.
    pub(crate) fn with_answer(mut self, place: Option<QuarantinePermit>, timer: &Timer) -> Self {
        self.answer = place.map(|p| (p, timer.clone()));
        self
    }

    /// `finished` tells that the whole answer has arrived.
    pub(crate) fn finished(self) {
        if let Some((place, timer)) = &self.answer {
            place.record_answer(timer.now());
        }
    }
}
