//! A partially parsed exception.

use super::{Condition, Scope, Values};
use crate::ini::codec::{Label, Line, Optional, Timestamp};
use crate::ini::{Entry, Fault, Key, Table, key};
use crate::name::Name;

/// The keys of an exception that have been parsed so far.
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
    key!("exception", condition.domain: Optional<Label>, "The failure domain that it applies to."),
    key!("exception", condition.worker: Optional<Label>, "The worker that it applies to."),
    key!("exception", condition.kind: Optional<Label>, "The kind of work that it applies to."),
    key!("exception", condition.caller: Optional<Label>, "The caller that it applies to."),
    key!("exception", reason: Optional<Line>, "The reason for the exception; required."),
    key!("exception", author: Optional<Line>, "The person who added it."),
    key!("exception", expires: Optional<Timestamp>, "The time at which it expires."),
];

impl Draft {
    /// The keys of an exception other than the overridden defaults.
    pub(super) const TABLE: Table<Self> = Table { keys: KEYS, required: &[], check: |_, _| Ok(()) };

    /// Parses one entry of the section `section`.
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

    /// Returns the reason why the exception `id` could never have an effect, if any.
    pub(super) fn find_fault(&self, id: &str) -> Option<Fault> {
        if self.condition.is_empty() {
            let message = format!("exception `{id}` matches everything");
            let remedy = "add `domain`, `worker`, `kind` or `caller`, or change the defaults";
            return Some(Fault::conflict(message, remedy));
        }
        if self.overrides.is_empty() {
            let message = format!("exception `{id}` overrides nothing");
            return Some(Fault::conflict(message, "add at least one key of `[defaults]`"));
        }
        self.overrides.iter().find_map(|key| self.mismatch(id, key))
    }

    /// Returns the reason why the override of `key` could never have an effect, if any.
    fn mismatch(&self, id: &str, key: &str) -> Option<Fault> {
        let scope = Scope::of(key);
        let name = scope.mismatch(&self.condition)?;
        let (applies, accepted) = (scope.as_str(), scope.conditions().join("`, `"));
        Some(Fault::conflict(
            format!("exception `{id}` overrides `{key}`, which applies to {applies}, by `{name}`"),
            format!("use conditions on `{accepted}` only"),
        ))
    }
}

/// Appends the exception's own keys to the reference page.
pub(crate) fn push_reference(page: &mut String) {
    crate::settings::reference::push_keys(page, &Draft::TABLE, "exception", &Draft::default());
}
