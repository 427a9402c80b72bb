//! Positions of records.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Position` numbers the records of a log without gaps; the first is 1, and 0 means none.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Position(pub u64);

impl Position {
    /// `next` returns the following position.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
