//! What a value applies to, and so which conditions can match for it.

use super::Condition;

/// Where a value is looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// For a worker: by its failure domain and its name.
    Worker,
    /// For a request or job at an entry: by the entry's failure domain, the kind and the caller.
    Request,
    /// For an entry: by its failure domain.
    Entry,
}

impl Scope {
    /// Every scope, in the order of the reference page.
    pub const ALL: [Self; 3] = [Self::Worker, Self::Request, Self::Entry];

    /// The scope of a key of the defaults.
    pub fn of(key: &str) -> Self {
        match key {
            "reserve" | "batch" | "watch_cap" | "drain" => Self::Worker,
            "retry_budget" => Self::Entry,
            _ => Self::Request,
        }
    }

    /// What the value applies to, in the plural.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Worker => "workers",
            Self::Request => "requests and jobs",
            Self::Entry => "entries",
        }
    }

    /// The names that conditions for it may give.
    pub fn conditions(self) -> &'static [&'static str] {
        match self {
            Self::Worker => &["domain", "worker"],
            Self::Request => &["domain", "kind", "caller"],
            Self::Entry => &["domain"],
        }
    }

    /// The first name in `condition` that can never match here.
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
