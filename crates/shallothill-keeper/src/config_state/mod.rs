//! The state machine of the config log: texts, versions and the outcomes of submissions.

mod change;
mod change_table;
mod section_history;
mod state;

pub use change::{Change, Outcome};
pub use change_table::{CHANGES_MAX, ChangeTable, KnownChange};
pub use section_history::{STEPS_MAX, SectionHistory, Step};
pub use state::{ConfigState, HISTORY_MAX, Snapshot};
