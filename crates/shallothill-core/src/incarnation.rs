//! Incarnations order the lives of a process or of a data folder.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Incarnation` orders the lives of a process or data folder; a higher one replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
