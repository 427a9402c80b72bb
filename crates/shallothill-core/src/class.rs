//! Classes of requests, in the order in which overload sheds them.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::errors;

/// `Class` tells on whose behalf a request runs.
///
/// Requests of editors, authors and shops count as service; internal ones are shed first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A lookup between services that no caller waits for.
    Internal,
    /// A request of an editor.
    Editor,
    /// A request of an author.
    Author,
    /// A request of a repair shop.
    Shop,
}

impl Class {
    /// `is_internal` tells whether the class is shed first and not counted as service.
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
