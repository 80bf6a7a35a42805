//! Which changes made the configuration what it is.

use crate::name::Name;
use serde::{Deserialize, Serialize};

/// The last changes, the newest last.
///
/// A writer whose answer was lost finds its identifier here if its change was applied, also when
/// others were applied after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Changes {
    /// The identifiers of the changes.
    pub ids: Vec<Name>,
    /// The revisions whose texts are kept, so that edits of them can be merged.
    pub past: Vec<i64>,
}

impl Changes {
    /// How many identifiers are kept.
    pub const IDS_KEPT: usize = 64;
    /// How many earlier texts are kept.
    pub const TEXTS_KEPT: usize = 32;

    /// Whether the change `id` was applied, as far as is kept.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.iter().any(|known| &**known == id)
    }

    /// Adds the change `id` and the revision that it replaced, if there was one.
    ///
    /// Returns the revision whose text is no longer kept.
    pub fn add(&mut self, id: Name, replaced: Option<i64>) -> Option<i64> {
        self.ids.push(id);
        if self.ids.len() > Self::IDS_KEPT {
            self.ids.remove(0);
        }
        self.past.extend(replaced);
        (self.past.len() > Self::TEXTS_KEPT).then(|| self.past.remove(0))
    }
}
