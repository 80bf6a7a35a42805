//! Input and result of a choice.

use super::Id;
use shallotflow_core::class::Class;
use std::time::Duration;

/// Requirements of a request on its target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The kind of work.
    pub kind: &'a str,
    /// The class of work; for watchers, the target with the fewest watchers is preferred.
    pub class: Class,
    /// Targets that earlier attempts of the request used.
    pub tried: &'a [Id],
}

/// A target chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The chosen target.
    pub id: Id,
    /// Expected wait at the target before the request starts.
    pub wait: Duration,
    /// Expected total time including the wait and the penalties of the cost model.
    pub total: Duration,
}
