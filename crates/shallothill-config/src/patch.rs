//! Patches between two texts, so that the size of a log entry depends on the size of the change
//! and not on that of the configuration.

use imara_diff::{Algorithm, Diff, InternedInput};
use serde::{Deserialize, Serialize};

use crate::errors;

/// `TextPatch` replaces the bytes between a kept prefix and a kept suffix of a text; both end at
/// UTF-8 character boundaries.
///
/// Two edits far apart would put everything between them into one replacement, so a patch may edit
/// lines of that part instead.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TextPatch {
    /// Bytes kept from the start of the base text.
    pub kept_prefix: u64,
    /// Bytes kept from the end of the base text.
    pub kept_suffix: u64,
    /// The new text between the kept prefix and suffix; empty if there are `edits`.
    pub middle: String,
    /// Edits of the base text between the kept prefix and suffix, in their order. Entries of releases
    /// without edits lack the field.
    #[serde(default)]
    pub edits: Vec<Edit>,
}

/// `Edit` replaces some bytes of a text. What follows the last edit is kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Bytes kept in front of the replaced ones, since the edit before.
    pub kept: u64,
    /// Bytes that are replaced.
    pub removed: u64,
    /// The text in their place.
    pub inserted: String,
}

impl TextPatch {
    /// `diff` returns the patch that turns `old` into `new`; it keeps the longest common prefix and,
    /// after that, the longest common suffix. The part between them is edited by lines if the
    /// changes have more than one place.
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
        let middle = &new_rest[..new_rest.len() - suffix];
        let edits = line_edits(&old_rest[..old_rest.len() - suffix], middle);
        let has_edits = edits.len() > 1;
        Self {
            kept_prefix: prefix as u64,
            kept_suffix: suffix as u64,
            middle: if has_edits { "" } else { middle }.to_owned(),
            edits: if has_edits { edits } else { Vec::new() },
        }
    }

    /// `apply` returns the patched text.
    ///
    /// Fails with `PatchMismatch` when `base` is too short or would be cut inside a character, which
    /// means that the patch was computed for a different text. Other mismatches aren't detected.
    pub fn apply(&self, base: &str) -> errors::Result<String> {
        self.patched(base).ok_or(errors::Error::PatchMismatch {
            kept_prefix: self.kept_prefix,
            kept_suffix: self.kept_suffix,
            base: base.len() as u64,
        })
    }

    fn patched(&self, base: &str) -> Option<String> {
        let prefix = usize::try_from(self.kept_prefix).ok()?;
        let suffix = usize::try_from(self.kept_suffix).ok()?;
        let start = base.len().checked_sub(suffix).filter(|s| *s >= prefix)?;
        let (kept, suffix) = (base.get(..prefix)?, base.get(start..)?);
        if self.edits.is_empty() {
            return Some([kept, &self.middle, suffix].concat());
        }
        let mut rest = base.get(prefix..start)?;
        let mut text = kept.to_owned();
        for edit in &self.edits {
            let kept = usize::try_from(edit.kept).ok()?;
            let removed = usize::try_from(edit.removed).ok()?;
            text.push_str(rest.get(..kept)?);
            text.push_str(&edit.inserted);
            rest = rest.get(kept.checked_add(removed)?..)?;
        }
        Some([&text, rest, suffix].concat())
    }
}

// Returns the edits that turn `old` into `new`, by whole lines.
fn line_edits(old: &str, new: &str) -> Vec<Edit> {
    let input = InternedInput::new(old, new);
    let diff = Diff::compute(Algorithm::Histogram, &input);
    let lines = |text| imara_diff::sources::lines(text).map(str::len);
    let (mut old_lines, mut new_lines) = (lines(old), lines(new));
    let (mut old_line, mut new_line, mut new_at) = (0, 0, 0);
    let mut edits = Vec::new();
    for hunk in diff.hunks() {
        let kept = bytes_of(hunk.before.start - old_line, &mut old_lines);
        let removed = bytes_of(hunk.before.end - hunk.before.start, &mut old_lines);
        new_at += bytes_of(hunk.after.start - new_line, &mut new_lines);
        let added = bytes_of(hunk.after.end - hunk.after.start, &mut new_lines);
        edits.push(Edit {
            kept: kept as u64,
            removed: removed as u64,
            inserted: new[new_at..new_at + added].to_owned(),
        });
        new_at += added;
        (old_line, new_line) = (hunk.before.end, hunk.after.end);
    }
    edits
}

// Takes the next `n` lines and returns their length in bytes.
fn bytes_of(n: u32, line_lengths: &mut impl Iterator<Item = usize>) -> usize {
    line_lengths.take(n as usize).sum()
}
