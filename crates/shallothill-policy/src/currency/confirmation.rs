//! The statement of a keeper on the newest configuration version.

use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;

/// `Confirmation` states that no version above `version` was acknowledged before `at`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// The highest version that can have been acknowledged.
    pub version: ConfigVersion,
    /// When the question to the primary was sent, or earlier, by the clock of the node.
    pub at: Millis,
}

impl Confirmation {
    /// `from_reply` translates a time that a keeper gives relative to the arrival of a request that
    /// was sent at `sent`. The arrival is not before `sent`, so the result is not too late.
    ///
    /// Returns `None` for a time before the start of the node's clock.
    pub fn from_reply(sent: Millis, version: ConfigVersion, relative_ms: i64) -> Option<Self> {
        let at = sent.0.checked_add_signed(relative_ms)?;
        Some(Self {
            version,
            at: Millis(at),
        })
    }
}
