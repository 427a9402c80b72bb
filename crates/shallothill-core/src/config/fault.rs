//! A fault of a configuration text.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Fault` is one fault of a configuration text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// The line, from 1, or 0 when it is not known.
    pub line: u32,
    /// The column, from 1, or 0 when it is not known.
    pub column: u32,
    /// The field, such as `services.courier.floor`.
    pub field: String,
    /// What is wrong and what to do.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}: {}",
            self.line, self.column, self.field, self.message
        )
    }
}
