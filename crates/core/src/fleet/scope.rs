//! The entities that a value applies to, which determine the conditions that can match.

use super::Condition;

/// The kind of entity that a value applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Workers; resolved by failure domain and worker name.
    Worker,
    /// Requests and jobs at an entry; resolved by the failure domain of the entry, the kind and the
    /// caller.
    Request,
    /// Entries; resolved by failure domain.
    Entry,
}

impl Scope {
    /// Every scope, in the order of the reference page.
    pub const ALL: [Self; 3] = [Self::Worker, Self::Request, Self::Entry];

    /// The scope of a key of `[defaults]`.
    pub fn of(key: &str) -> Self {
        match key {
            "reserve" | "batch" | "watch_cap" | "drain" => Self::Worker,
            "retry_budget" => Self::Entry,
            _ => Self::Request,
        }
    }

    /// The plural name of the entities, for messages and the reference page.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Worker => "workers",
            Self::Request => "requests and jobs",
            Self::Entry => "entries",
        }
    }

    /// The keys of the conditions that can match in this scope.
    pub fn conditions(self) -> &'static [&'static str] {
        match self {
            Self::Worker => &["domain", "worker"],
            Self::Request => &["domain", "kind", "caller"],
            Self::Entry => &["domain"],
        }
    }

    /// The first name in `condition` that can never match in this scope.
    pub(super) fn mismatch(self, condition: &Condition) -> Option<&'static str> {
        let given = [
            ("worker", condition.worker.is_some()),
            ("kind", condition.kind.is_some()),
            ("caller", condition.caller.is_some()),
        ];
        let accepted = self.conditions();
        given.iter().find(|(name, given)| *given && !accepted.contains(name)).map(|(name, _)| *name)
    }
}
