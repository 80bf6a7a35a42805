use super::super::{Config, Exception, Values};
use crate::name::Name;
use serde::Serialize;

/// How a section changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Only the new configuration has it.
    Added,
    /// Only the old configuration has it.
    Removed,
    /// Both have it with different contents.
    Changed,
}

/// A section that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The section, such as `defaults` or `exception rush`.
    pub section: Name,
    /// How it changed.
    pub change: Change,
    /// The author in the new configuration, or in the old one if it was removed.
    pub author: Option<Name>,
    /// The reason, from the same configuration as the author; `None` for the defaults.
    pub reason: Option<Name>,
    /// The lines that only the old configuration has.
    pub old: Vec<String>,
    /// The lines that only the new configuration has.
    pub new: Vec<String>,
}

/// Returns the sections of `new` that differ from `old`, in the order of `old`, then of `new`.
///
/// The order of exceptions is not compared.
pub fn differences(old: &Config, new: &Config) -> Vec<Difference> {
    let (before, after) = (Values::TABLE.print(&old.defaults), Values::TABLE.print(&new.defaults));
    let defaults = Difference::of("defaults".into(), Change::Changed, None, &before, &after);
    let mut found: Vec<Difference> = if before == after { Vec::new() } else { vec![defaults] };
    for exception in &old.exceptions {
        let other = new.exception(&exception.id);
        if other != Some(exception) {
            found.push(Difference::of_exception(Some(exception), other));
        }
    }
    let added = new.exceptions.iter().filter(|other| old.exception(&other.id).is_none());
    found.extend(added.map(|exception| Difference::of_exception(None, Some(exception))));
    found
}

impl Difference {
    fn of_exception(old: Option<&Exception>, new: Option<&Exception>) -> Self {
        let change = match (old, new) {
            (None, _) => Change::Added,
            (_, None) => Change::Removed,
            _ => Change::Changed,
        };
        let known = new.or(old);
        let section = known.map_or_else(String::new, |known| Exception::header(&known.id));
        let print = |exception: Option<&Exception>| exception.map(Exception::print);
        let (before, after) = (print(old).unwrap_or_default(), print(new).unwrap_or_default());
        Self::of(section.into(), change, known, &before, &after)
    }

    fn of(
        section: Name,
        change: Change,
        exception: Option<&Exception>,
        before: &str,
        after: &str,
    ) -> Self {
        let only = |text: &str, other: &str| {
            let keys = text.lines().filter(|line| !line.starts_with('['));
            let missing = keys.filter(|line| other.lines().all(|known| known != *line));
            missing.map(str::to_owned).collect()
        };
        Self {
            section,
            change,
            author: exception.and_then(|exception| exception.author.clone()),
            reason: exception.map(|exception| exception.reason.clone()),
            old: only(before, after),
            new: only(after, before),
        }
    }
}
