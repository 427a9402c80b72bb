//! Decisions of the request path as pure state machines: endpoint selection, admission, failure
//! detection, ejection, retries, limits, quotas, quarantine and the currency of the configuration.
//! Callers pass the time in; nothing here does I/O.

pub mod admit;
pub mod backpressure;
pub mod calls;
pub mod currency;
pub mod detect;
pub mod eject;
pub mod gray;
pub mod limits;
pub mod notices;
pub mod pick;
pub mod quarantine;
pub mod quota;
pub mod retry;
