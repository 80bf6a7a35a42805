//! The difference between two texts.

use shallotflow_core::name::Name;

/// Replaces what lies between a common prefix and a common suffix of two texts.
///
/// An exception that comes or goes is one such place, so a patch is about as large as the change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Patch {
    /// The revision whose text is replaced in part.
    pub base: u64,
    /// Bytes of that text that stay in front.
    pub prefix_bytes: u32,
    /// Bytes of that text that stay behind.
    pub suffix_bytes: u32,
    /// What stands between them.
    pub middle: Name,
}

impl Patch {
    /// The patch that makes `new` of `old`, the text of revision `base`.
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

    /// The new text, `None` when the patch does not fit `old`.
    pub fn apply(&self, old: &str) -> Option<String> {
        let prefix = old.get(..usize::try_from(self.prefix_bytes).ok()?)?;
        let kept = usize::try_from(self.suffix_bytes).ok()?;
        let suffix = old.get(old.len().checked_sub(kept)?..)?;
        let fits = prefix.len() + suffix.len() <= old.len();
        fits.then(|| [prefix, &self.middle, suffix].concat())
    }
}

fn common_prefix(left: &str, right: &str) -> usize {
    let same = left.bytes().zip(right.bytes()).take_while(|(a, b)| a == b).count();
    left.floor_char_boundary(same).min(right.floor_char_boundary(same))
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
