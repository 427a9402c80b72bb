//! Options of the ledger.

use std::time::Duration;

/// `LedgerOptions` bounds the age of the keys that a member accepts and keeps, and the size of the
/// answers that it stores.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerOptions {
    /// Age above which a key is refused as too old.
    pub retention: Duration,
    /// Time past the retention after which a member drops a key.
    pub drop_margin: Duration,
    /// How far in the future a key may be created, to allow for clock differences.
    pub max_clock_skew: Duration,
    /// The largest answer body that is kept, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3600),
            drop_margin: Duration::from_secs(600),
            max_clock_skew: Duration::from_secs(300),
            max_answer_bytes: 16 * 1024,
        }
    }
}
