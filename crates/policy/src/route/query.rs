//! What a request wants of its target, and the target that was chosen.

use super::Id;
use shallotflow_core::class::Class;
use std::time::Duration;

/// What a request wants of its target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The kind of work.
    pub kind: &'a str,
    /// The class of work; watchers go to the target that holds the fewest.
    pub class: Class,
    /// Targets that refused it already.
    pub tried: &'a [Id],
}

/// A target chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub id: Id,
    /// How long the request is expected to wait there before it starts.
    pub wait: Duration,
    /// How long it is expected to take, with its wait.
    pub total: Duration,
}
