//! Classes of requests, in the order in which they are shed under overload.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::errors;

/// `Class` is the group of callers that a request belongs to.
///
/// Under overload internal requests are shed first. Only requests of editors, authors and shops
/// are counted as served to customers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A request between services that no caller waits for.
    Internal,
    /// A request of an editor.
    Editor,
    /// A request of an author.
    Author,
    /// A request of a repair shop.
    Shop,
}

impl Class {
    /// `is_internal` tells whether requests of the class are shed first and are not counted as
    /// served to customers.
    pub fn is_internal(self) -> bool {
        self == Self::Internal
    }

    /// `as_str` returns the name used in the configuration and in headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Internal => "internal",
            Self::Editor => "editor",
            Self::Author => "author",
            Self::Shop => "shop",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Class {
    type Err = errors::Error;

    fn from_str(value: &str) -> errors::Result<Self> {
        match value {
            "internal" => Ok(Self::Internal),
            "editor" => Ok(Self::Editor),
            "author" => Ok(Self::Author),
            "shop" => Ok(Self::Shop),
            _ => errors::InvalidValueSnafu {
                kind: "class",
                value,
                accepted: "internal, editor, author, shop",
            }
            .fail(),
        }
    }
}
