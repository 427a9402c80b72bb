//! Collects the faults of a configuration text.

use shallothill_core::config::Fault;

use crate::limits;
use crate::node::Position;

/// `Faults` keeps up to [`limits::FAULTS_MAX`] faults and only counts further ones.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    reported: Vec<Fault>,
    omitted: usize,
}

impl Faults {
    /// `push` records a fault of the field with the path `field`.
    pub(crate) fn push(
        &mut self,
        at: Position,
        field: impl Into<String>,
        message: impl Into<String>,
    ) {
        if self.reported.len() >= limits::FAULTS_MAX {
            self.omitted += 1;
            return;
        }
        self.reported.push(Fault {
            line: at.line,
            column: at.column,
            field: field.into(),
            message: message.into(),
        });
    }

    /// `count` returns the number of faults so far, including those that are only counted.
    pub(crate) fn count(&self) -> usize {
        self.reported.len() + self.omitted
    }

    /// `into_sorted` returns the faults in the order of their positions. If some are only counted,
    /// a last fault without a position gives their number.
    pub(crate) fn into_sorted(mut self) -> Vec<Fault> {
        self.reported.sort_by_key(|f| (f.line, f.column));
        if self.omitted > 0 {
            self.reported.push(Fault {
                line: 0,
                column: 0,
                field: String::from("text"),
                message: format!(
                    "{} more faults are not listed; correct these and check again",
                    self.omitted
                ),
            });
        }
        self.reported
    }
}
