//! Whether a request is sent again, and whether a second attempt runs beside the first.

mod attempts;
mod budget;
mod options;

pub use attempts::{Attempts, Next};
pub use budget::Budget;
pub use options::RetryOptions;
