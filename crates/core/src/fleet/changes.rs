//! The history of recent configuration changes.

use crate::name::Name;
use serde::{Deserialize, Serialize};

/// The most recent changes, oldest first.
///
/// A writer that lost the store's response finds its change identifier here if the change was
/// applied, even if other changes were applied after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Changes {
    /// The identifiers of the changes.
    pub ids: Vec<Name>,
    /// The earlier revisions whose texts are retained, so that edits based on them can be merged.
    pub past: Vec<i64>,
}

impl Changes {
    /// Maximum number of retained change identifiers.
    pub const IDS_KEPT: usize = 64;
    /// Maximum number of retained earlier texts.
    pub const TEXTS_KEPT: usize = 32;

    /// Whether the change `id` is among the retained identifiers.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.iter().any(|known| &**known == id)
    }

    /// Records the change `id` and the revision that it replaced, if any.
    ///
    /// Returns the revision whose text is no longer retained, if any.
    pub fn add(&mut self, id: Name, replaced: Option<i64>) -> Option<i64> {
        self.ids.push(id);
        if self.ids.len() > Self::IDS_KEPT {
            self.ids.remove(0);
        }
        self.past.extend(replaced);
        (self.past.len() > Self::TEXTS_KEPT).then(|| self.past.remove(0))
    }
}
