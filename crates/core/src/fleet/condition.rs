//! Conditions of exceptions.

use super::Subject;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Names that a subject must match; a valid exception sets at least one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Condition {
    /// The required failure domain, if any.
    pub domain: Option<Name>,
    /// The required worker, if any.
    pub worker: Option<Name>,
    /// The required kind of work, if any.
    pub kind: Option<Name>,
    /// The required caller, if any.
    pub caller: Option<Name>,
}

/// The specificity of a condition; more specific conditions compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Specificity {
    names: u32,
    worker: bool,
    caller: bool,
    kind: bool,
}

impl Condition {
    /// Whether every name that is set equals that of the subject.
    pub fn matches(&self, subject: &Subject<'_>) -> bool {
        name_matches(&self.domain, subject.domain)
            && name_matches(&self.worker, subject.worker)
            && name_matches(&self.kind, subject.kind)
            && name_matches(&self.caller, subject.caller)
    }

    /// Whether no name is set.
    pub fn is_empty(&self) -> bool {
        self.specificity().names == 0
    }

    pub(super) fn specificity(&self) -> Specificity {
        let names = [&self.domain, &self.worker, &self.kind, &self.caller];
        Specificity {
            names: names.into_iter().flatten().count() as u32,
            worker: self.worker.is_some(),
            caller: self.caller.is_some(),
            kind: self.kind.is_some(),
        }
    }
}

fn name_matches(required: &Option<Name>, actual: &str) -> bool {
    required.as_deref().is_none_or(|required| required == actual)
}
