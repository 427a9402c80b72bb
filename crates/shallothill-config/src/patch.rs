//! Patches between two texts, so that the size of a log entry depends on the size of the change
//! and not on that of the configuration.

use serde::{Deserialize, Serialize};

use crate::errors;

/// `TextPatch` replaces the bytes between a kept prefix and a kept suffix of a text; both end at
/// UTF-8 character boundaries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TextPatch {
    /// Bytes kept from the start of the base text.
    pub kept_prefix: u64,
    /// Bytes kept from the end of the base text.
    pub kept_suffix: u64,
    /// The new text between the kept prefix and suffix.
    pub middle: String,
}

impl TextPatch {
    /// `diff` returns the patch that turns `old` into `new`; it keeps the longest common prefix and,
    /// after that, the longest common suffix.
    pub fn diff(old: &str, new: &str) -> Self {
        let pairs = old.bytes().zip(new.bytes());
        let mut prefix = pairs.take_while(|(a, b)| a == b).count();
        while !(old.is_char_boundary(prefix) && new.is_char_boundary(prefix)) {
            prefix -= 1;
        }
        let (old_rest, new_rest) = (&old[prefix..], &new[prefix..]);
        let pairs = old_rest.bytes().rev().zip(new_rest.bytes().rev());
        let mut suffix = pairs.take_while(|(a, b)| a == b).count();
        let is_boundary = |text: &str, n: usize| text.is_char_boundary(text.len() - n);
        while !(is_boundary(old_rest, suffix) && is_boundary(new_rest, suffix)) {
            suffix -= 1;
        }
        Self {
            kept_prefix: prefix as u64,
            kept_suffix: suffix as u64,
            middle: new_rest[..new_rest.len() - suffix].to_owned(),
        }
    }

    /// `apply` returns the patched text.
    ///
    /// Fails with `PatchMismatch` when `base` is too short or would be cut inside a character, which
    /// means that the patch was computed for a different text. Other mismatches aren't detected.
    pub fn apply(&self, base: &str) -> errors::Result<String> {
        self.kept_parts(base)
            .map(|(prefix, suffix)| [prefix, &self.middle, suffix].concat())
            .ok_or(errors::Error::PatchMismatch {
                kept_prefix: self.kept_prefix,
                kept_suffix: self.kept_suffix,
                base: base.len() as u64,
            })
    }

    fn kept_parts<'a>(&self, base: &'a str) -> Option<(&'a str, &'a str)> {
        let prefix = usize::try_from(self.kept_prefix).ok()?;
        let suffix = usize::try_from(self.kept_suffix).ok()?;
        let start = base.len().checked_sub(suffix).filter(|s| *s >= prefix)?;
        Some((base.get(..prefix)?, base.get(start..)?))
    }
}
