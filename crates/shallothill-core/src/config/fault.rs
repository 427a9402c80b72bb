//! Validation errors of a configuration text.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Fault` is one validation error of a configuration text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// The line of the text, from 1, or 0 when it is unknown.
    pub line: u32,
    /// The column in the line, from 1, or 0 when it is unknown.
    pub column: u32,
    /// The path of the field, such as `services.courier.floor`.
    pub field: String,
    /// The error and its remedy.
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
