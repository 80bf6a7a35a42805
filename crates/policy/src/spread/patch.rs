//! Difference between two texts.

use shallotflow_core::name::Name;

/// Replaces the part between the common prefix and the common suffix of two texts.
///
/// Adding or removing an exception changes one contiguous part, so a patch is about as large as
/// the change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Patch {
    /// Revision of the text that the patch applies to.
    pub base: u64,
    /// Length of the common prefix, bytes.
    pub prefix_bytes: u32,
    /// Length of the common suffix, bytes.
    pub suffix_bytes: u32,
    /// New text between prefix and suffix.
    pub middle: Name,
}

impl Patch {
    /// Creates the patch that turns `old`, the text of revision `base`, into `new`.
    pub fn between(base: u64, old: &str, new: &str) -> Self {
        let prefix = common_prefix(old, new);
        let suffix = common_suffix(&old[prefix..], &new[prefix..]);
        Self {
            base,
            prefix_bytes: bytes(prefix),
            suffix_bytes: bytes(suffix),
            middle: new[prefix..new.len() - suffix].into(),
        }
    }

    /// Returns the new text, or `None` if the patch does not fit `old`.
    pub fn apply(&self, old: &str) -> Option<String> {
        let prefix = old.get(..usize::try_from(self.prefix_bytes).ok()?)?;
        let suffix_bytes = usize::try_from(self.suffix_bytes).ok()?;
        let suffix = old.get(old.len().checked_sub(suffix_bytes)?..)?;
        let fits = prefix.len() + suffix.len() <= old.len();
        fits.then(|| [prefix, &self.middle, suffix].concat())
    }
}

fn common_prefix(left: &str, right: &str) -> usize {
    let common = left.bytes().zip(right.bytes()).take_while(|(a, b)| a == b).count();
    left.floor_char_boundary(common).min(right.floor_char_boundary(common))
}

fn common_suffix(left: &str, right: &str) -> usize {
    let pairs = left.bytes().rev().zip(right.bytes().rev());
    let mut same = pairs.take_while(|(a, b)| a == b).count();
    let starts_char = |text: &str, same: usize| text.is_char_boundary(text.len() - same);
    while !starts_char(left, same) || !starts_char(right, same) {
        same -= 1;
    }
    same
}

fn bytes(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
