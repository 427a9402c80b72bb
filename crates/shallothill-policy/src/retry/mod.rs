//! Whether a request is sent again, and whether a second attempt runs beside the first.

mod allowance;
mod allowance_options;
mod attempts;
mod budget;
mod options;

pub use allowance::Allowance;
pub use allowance_options::AllowanceOptions;
pub use attempts::{Attempts, Next, RefusedBy};
pub use budget::Budget;
pub use options::RetryOptions;
