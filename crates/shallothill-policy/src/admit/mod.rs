//! Admission control for one endpoint: which requests run, wait or are refused before they run.

mod gate;
mod latency;
mod options;
mod queue;
mod request;
mod retry_after;
mod urgency;

pub use gate::Gate;
pub use options::{GateOptions, STOP_RESERVE};
pub use request::{
    Admission, CallerKey, GateRequest, QueueDecision, Refusal, RequestKind, SlotOutcome, Ticket,
};
