//! The targets of one kind.

use shallotflow_core::name::Name;

/// The targets of one kind that may be chosen.
#[derive(Debug)]
pub(super) struct Kind {
    pub(super) name: Name,
    /// Indices of the targets that may be chosen, in no order.
    pub(super) eligible: Vec<u32>,
    /// Targets that announce the kind, eligible or not.
    pub(super) members: usize,
}

/// Where a target stands in the list of a kind.
#[derive(Clone, Copy, Debug)]
pub(super) struct Membership {
    pub(super) kind: usize,
    /// Its position among the eligible ones; meaningless while it is not eligible.
    pub(super) position: usize,
}
