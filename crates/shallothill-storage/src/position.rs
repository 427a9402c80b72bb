//! Positions of records in a log.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Position` numbers the records of a log without gaps, from 1; 0 stands before the first record.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Position(pub u64);

impl Position {
    /// `next` returns the position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
