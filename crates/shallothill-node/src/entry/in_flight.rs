//! The permits and counts that a request holds at its entry node until its response ends.

use shallothill_policy::limits::Permit;
use shallothill_policy::pick;
use shallothill_runtime::timer::Timer;

use crate::crashes::QuarantinePermit;

/// `InFlight` holds the permit of the caller's limit and the in-flight count of the picked backend
/// server. Dropping it releases both.
#[derive(Debug)]
pub struct InFlight {
    _permit: Option<Permit>,
    _picked: Option<pick::InFlight>,
    answer: Option<(QuarantinePermit, Timer)>,
}

impl InFlight {
    /// `new` takes the permit, absent for callers without a limit, and the in-flight count, absent
    /// if no attempt ended.
    pub fn new(permit: Option<Permit>, picked: Option<pick::InFlight>) -> Self {
        Self {
            _permit: permit,
            _picked: picked,
            answer: None,
        }
    }

    /// `with_answer` records an answer under `quarantine_permit` once all of it has arrived.
    pub(crate) fn with_answer(
        mut self,
        quarantine_permit: Option<QuarantinePermit>,
        timer: &Timer,
    ) -> Self {
        self.answer = quarantine_permit.map(|permit| (permit, timer.clone()));
        self
    }

    /// `complete` records the answer, if there is one, after its whole body has arrived.
    pub(crate) fn complete(self) {
        if let Some((quarantine_permit, timer)) = &self.answer {
            quarantine_permit.record_answer(timer.now());
        }
    }
}
