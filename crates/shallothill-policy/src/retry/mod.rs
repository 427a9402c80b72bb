//! Whether a request is sent again, and whether a second attempt runs beside the first.

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
