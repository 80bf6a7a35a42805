//! Which changes made the configuration what it is.

use crate::name::Name;
use serde::{Deserialize, Serialize};

/// The identifiers of the last changes, the newest last.
///
/// A writer whose answer was lost finds its identifier here if its change was applied, also when
/// others were applied after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Changes {
    /// The identifiers.
    pub ids: Vec<Name>,
}

impl Changes {
    /// How many identifiers are kept.
    pub const KEPT: usize = 64;

    /// The same changes followed by `id`.
    #[must_use]
    pub fn followed_by(&self, id: Name) -> Self {
        let kept = self.ids.len().saturating_sub(Self::KEPT - 1);
        let mut ids = self.ids[kept..].to_vec();
        ids.push(id);
        Self { ids }
    }

    /// Whether the change `id` was applied, as far as is kept.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.iter().any(|known| &**known == id)
    }
}
