//! Incarnations of processes and data folders.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Incarnation` identifies one run of a process, or the content of a data folder until it is
/// lost; a higher incarnation replaces a lower one.
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
