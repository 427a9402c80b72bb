//! Decisions on retries and hedged attempts, and their budgets.

mod attempts;
mod budget;
mod gate_budget;
mod gate_options;
mod options;
mod usual_latency;

pub use attempts::{Attempts, NextStep, RefusedBy};
pub use budget::RetryBudget;
pub use gate_budget::{GateRetryBudget, RetryWorth};
pub use gate_options::GateRetryOptions;
pub use options::RetryOptions;
pub use usual_latency::UsualLatency;
