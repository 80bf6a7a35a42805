//! What the choice does not read of a target.

use super::Target;
use super::kind::Membership;

/// What the choice does not read of a target.
#[derive(Debug)]
pub(super) struct Place {
    pub(super) target: Target,
    pub(super) memberships: Vec<Membership>,
    pub(super) leaving: bool,
    pub(super) ejected: bool,
}

impl Place {
    /// A target that may be chosen and is in no kind's list yet.
    pub(super) fn new(target: Target) -> Self {
        Self { target, memberships: Vec::new(), leaving: false, ejected: false }
    }

    /// Whether the target may be chosen.
    pub(super) fn is_eligible(&self) -> bool {
        !self.leaving && !self.ejected
    }
}
