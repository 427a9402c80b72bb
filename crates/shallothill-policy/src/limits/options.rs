//! Memory bounds of the callers' limits.

/// `LimitOptions` bounds the memory of the callers' limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitOptions {
    /// Callers tracked at most; idle ones are evicted first.
    pub max_callers: usize,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self {
            max_callers: 20_000,
        }
    }
}
