//! An exception while it is being read.

use super::{Condition, Scope, Values};
use crate::ini::codec::{Label, Line, Optional, Timestamp};
use crate::ini::{Entry, Fault, Key, Table, key};
use crate::name::Name;

/// What was read of an exception so far.
#[derive(Debug, Default)]
pub(super) struct Draft {
    pub(super) condition: Condition,
    pub(super) overrides: Vec<Name>,
    pub(super) values: Values,
    pub(super) reason: Option<Name>,
    pub(super) author: Option<Name>,
    pub(super) expires: Option<u64>,
}

const KEYS: &[Key<Draft>] = &[
    key!("exception", condition.domain: Optional<Label>, "The failure domain where it holds."),
    key!("exception", condition.worker: Optional<Label>, "The worker for which it holds."),
    key!("exception", condition.kind: Optional<Label>, "The kind of work for which it holds."),
    key!("exception", condition.caller: Optional<Label>, "The caller for which it holds."),
    key!("exception", reason: Optional<Line>, "Why it is needed; required."),
    key!("exception", author: Optional<Line>, "Who added it."),
    key!("exception", expires: Optional<Timestamp>, "When it ends by itself."),
];

impl Draft {
    /// The keys that an exception has besides those of the defaults.
    pub(super) const TABLE: Table<Self> = Table { keys: KEYS, required: &[], check: |_, _| Ok(()) };

    /// Reads one line of the section `section`.
    pub(super) fn read_entry(&mut self, section: &str, entry: &Entry) -> Result<(), Fault> {
        if let Some(key) = Self::TABLE.key("exception", &entry.key) {
            return (key.read)(self, &entry.value);
        }
        let Some(key) = Values::TABLE.key("defaults", &entry.key) else {
            let own = Self::TABLE.names("exception");
            let known = own.chain(Values::TABLE.names("defaults"));
            return Err(Fault::unknown_key(section, &entry.key, known));
        };
        self.overrides.push(key.name.into());
        (key.read)(&mut self.values, &entry.value)
    }

    /// Why the exception `id` could never hold, if that is so.
    pub(super) fn fault(&self, id: &str) -> Option<Fault> {
        if self.condition.is_empty() {
            let message = format!("exception `{id}` matches everything");
            let remedy = "add `domain`, `worker`, `kind` or `caller`, or change the defaults";
            return Some(Fault::conflict(message, remedy));
        }
        if self.overrides.is_empty() {
            let message = format!("exception `{id}` overrides nothing");
            return Some(Fault::conflict(message, "add a key of the defaults"));
        }
        self.overrides.iter().find_map(|key| self.mismatch(id, key))
    }

    /// Why the override of `key` could never hold, if that is so.
    fn mismatch(&self, id: &str, key: &str) -> Option<Fault> {
        let scope = Scope::of(key);
        let name = scope.mismatch(&self.condition)?;
        let (applies, accepted) = (scope.as_str(), scope.conditions().join("`, `"));
        Some(Fault::conflict(
            format!("exception `{id}` overrides `{key}`, which applies to {applies}, by `{name}`"),
            format!("give conditions on `{accepted}` only"),
        ))
    }
}

/// Adds the rows of an exception's own keys to the reference page.
pub(crate) fn push_reference(page: &mut String) {
    crate::settings::reference::push_keys(page, &Draft::TABLE, "exception", &Draft::default());
}
