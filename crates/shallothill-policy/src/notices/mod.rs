//! Which nodes a gate informs of the state of a backend server, and when.

mod condition;
mod options;
mod schedule;
mod senders;

pub use condition::Condition;
pub use options::NoticeOptions;
pub use schedule::{NoticeSchedule, Receivers};
pub use senders::RecentSenders;
