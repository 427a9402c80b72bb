//! Identification of attempts between nodes.

/// `ProcessId` identifies one run of a node's process; it is drawn at random at the start.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProcessId(pub u64);

impl ProcessId {
    /// `random` draws the id of a process that starts.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

/// `AttemptId` identifies an attempt by the process that sent it and a number that the process
/// never uses twice, starting at 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptId {
    /// The process of the entry node.
    pub sender: ProcessId,
    /// The number among all attempts of that process.
    pub number: u64,
}
