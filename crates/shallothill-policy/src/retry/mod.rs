//! Decisions on retries and hedged attempts, and their budgets.

mod allowance;
mod allowance_options;
mod attempts;
mod budget;
mod options;

pub use allowance::GateRetryBudget;
pub use allowance_options::GateRetryOptions;
pub use attempts::{Attempts, NextStep, RefusedBy};
pub use budget::RetryBudget;
pub use options::RetryOptions;
