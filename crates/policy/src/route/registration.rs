//! The data of a target that the choice does not read.

use super::Target;
use super::kind::Membership;

/// Announcement, kinds and eligibility of a target.
#[derive(Debug)]
pub(super) struct Registration {
    pub(super) target: Target,
    pub(super) memberships: Vec<Membership>,
    pub(super) leaving: bool,
    pub(super) ejected: bool,
}

impl Registration {
    /// Creates an eligible target without memberships.
    pub(super) fn new(target: Target) -> Self {
        Self { target, memberships: Vec::new(), leaving: false, ejected: false }
    }

    /// Whether the target is neither leaving nor ejected.
    pub(super) fn is_eligible(&self) -> bool {
        !self.leaving && !self.ejected
    }
}
