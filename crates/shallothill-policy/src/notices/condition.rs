//! The condition of a backend server as far as it decides who should pick it.

use shallothill_core::health::ServingState;

use crate::pick::ReportedLoad;

/// `Condition` summarises a reported load. Loads of the same condition need no notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The backend server accepts requests.
    Usual,
    /// All slots are in use.
    Full,
    /// Too little has run lately for requests that must run at most once.
    Unproven,
    /// A gray failure or another fault is suspected, whether or not a trial is due.
    Suspected,
    /// The backend server accepts no more requests.
    Draining,
}

impl Condition {
    /// `of` returns the condition that `load` shows.
    pub fn of(load: &ReportedLoad) -> Self {
        match load.state {
            ServingState::Draining => Self::Draining,
            ServingState::Demoted | ServingState::Ejected => Self::Suspected,
            _ if load.in_flight >= load.slots => Self::Full,
            ServingState::Unproven => Self::Unproven,
            ServingState::Ready | ServingState::Cold => Self::Usual,
        }
    }
}
