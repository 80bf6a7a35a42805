use super::ground::Ground;
use super::member::Owner;
use super::shared::View;
use serde::Serialize;

/// A table that this entry has found without an owner: the state on which a claim is decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Vacancy {
    /// The owner that is to be replaced, if one is known.
    pub(super) owner: Option<Owner>,
    /// The revision of the owner's record that was known when the check began; 0 without a record.
    pub(super) revision: i64,
    /// Whether another writer has overwritten that record.
    pub(super) overwritten: bool,
    /// Why the table may be claimed.
    pub(super) ground: Ground,
}

impl Vacancy {
    /// Whether no later record of the owner is known: most claims find that another entry was faster.
    pub(super) fn is_current(&self, view: &View) -> bool {
        view.owner_revision == self.revision
    }
}
