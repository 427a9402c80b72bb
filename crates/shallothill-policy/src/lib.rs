//! Decisions of the request path as pure state machines: endpoint selection, admission, failure
//! detection, ejection, retries, limits and quarantine. Callers pass the time in; nothing here does
//! I/O.

pub mod admit;
pub mod backpressure;
pub mod calls;
pub mod detect;
pub mod eject;
pub mod gray;
pub mod limits;
pub mod pick;
pub mod quarantine;
pub mod retry;
