//! How request bodies of a route are passed on.

use serde::{Deserialize, Serialize};

/// `BodyMode` is how request bodies of a route are passed on to backend servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BodyMode {
    /// Bodies are read completely before they are written to a backend server.
    #[default]
    Buffered,
    /// Bodies may be large; one that does not fit the buffers is passed on as it arrives, to one
    /// backend server only.
    Streamed,
}
