//! Where an exception holds.

use super::Subject;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Names that have to match; at least one is given in a valid exception.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Condition {
    /// The failure domain, if it matters.
    pub domain: Option<Name>,
    /// The worker, if it matters.
    pub worker: Option<Name>,
    /// The kind of work, if it matters.
    pub kind: Option<Name>,
    /// The caller, if it matters.
    pub caller: Option<Name>,
}

/// How narrow a condition is; narrower ones compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    names: u32,
    worker: bool,
    caller: bool,
    kind: bool,
}

impl Condition {
    /// Whether every name that is given equals the subject's.
    pub fn matches(&self, subject: &Subject<'_>) -> bool {
        holds(&self.domain, subject.domain)
            && holds(&self.worker, subject.worker)
            && holds(&self.kind, subject.kind)
            && holds(&self.caller, subject.caller)
    }

    /// Whether no name is given.
    pub fn is_empty(&self) -> bool {
        self.rank().names == 0
    }

    pub(super) fn rank(&self) -> Rank {
        let given = [&self.domain, &self.worker, &self.kind, &self.caller];
        Rank {
            names: given.into_iter().flatten().count() as u32,
            worker: self.worker.is_some(),
            caller: self.caller.is_some(),
            kind: self.kind.is_some(),
        }
    }
}

fn holds(wanted: &Option<Name>, actual: &str) -> bool {
    wanted.as_deref().is_none_or(|wanted| wanted == actual)
}
