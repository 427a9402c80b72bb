//! Collects the faults of a text.

use shallothill_core::config::Fault;

use crate::limits;
use crate::node::Position;

/// `Faults` collects faults and counts those above the limit.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    found: Vec<Fault>,
    more: usize,
}

impl Faults {
    /// `push` adds a fault of `field`.
    pub(crate) fn push(
        &mut self,
        at: Position,
        field: impl Into<String>,
        message: impl Into<String>,
    ) {
        if self.found.len() >= limits::FAULTS_MAX {
            self.more += 1;
            return;
        }
        self.found.push(Fault {
            line: at.line,
            column: at.column,
            field: field.into(),
            message: message.into(),
        });
    }

    /// `count` returns the number of faults so far.
    pub(crate) fn count(&self) -> usize {
        self.found.len() + self.more
    }

    /// `into_sorted` returns the faults in the order of the text.
    pub(crate) fn into_sorted(mut self) -> Vec<Fault> {
        self.found.sort_by_key(|f| (f.line, f.column));
        if self.more > 0 {
            self.found.push(Fault {
                line: 0,
                column: 0,
                field: String::from("text"),
                message: format!(
                    "{} more faults are not listed; correct these and check again",
                    self.more
                ),
            });
        }
        self.found
    }
}
