//! Exceptions to the defaults.

use super::draft::Draft;
use super::{Condition, Values};
use crate::ini::codec::{self, Label};
use crate::ini::{Document, Fault, Key, Result, Section};
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Overrides of some values for subjects that match its condition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// The stable identifier, unique in the configuration.
    pub id: Name,
    /// The condition that a subject must match.
    pub condition: Condition,
    /// The names of the keys that it overrides.
    pub overrides: Vec<Name>,
    /// The overriding values; keys that are not in `overrides` have built-in defaults and are ignored.
    pub values: Values,
    /// The reason for the exception.
    pub reason: Name,
    /// The person who added it.
    pub author: Option<Name>,
    /// Time of expiry, in seconds since the Unix epoch.
    pub expires_unix_s: Option<u64>,
}

impl Exception {
    /// The keyword at the start of the section header of an exception.
    pub const SECTION: &'static str = "exception";

    /// The section header of the exception `id`, without brackets.
    pub fn header(id: &str) -> String {
        format!("{} {id}", Self::SECTION)
    }

    /// Whether the exception has not yet expired at `unix_now_s`, in seconds since the Unix epoch.
    pub fn is_in_force(&self, unix_now_s: u64) -> bool {
        self.expires_unix_s.is_none_or(|expires| unix_now_s < expires)
    }

    /// Whether it overrides `key`.
    pub fn sets(&self, key: &str) -> bool {
        self.overrides.iter().any(|name| &**name == key)
    }

    /// Parses the exception `id` from its section.
    ///
    /// # Errors
    ///
    /// Fails on unknown keys and invalid values, and if the reason, the condition or the overrides
    /// are missing.
    pub(super) fn read(document: &Document, section: &Section, id: &str) -> Result<Self> {
        let at_header = |fault| document.error(section.line, fault);
        let id = codec::read::<Label>(Self::SECTION, id).map_err(at_header)?;
        let mut draft = Draft::default();
        for entry in &section.entries {
            let read = draft.read_entry(&section.name, entry);
            read.map_err(|fault| document.error(entry.line, fault))?;
        }
        if let Some(fault) = draft.find_fault(&id) {
            return Err(at_header(fault));
        }
        let Some(reason) = draft.reason else {
            let (section, key) = (section.name.clone(), "reason".to_owned());
            return Err(at_header(Fault::Missing { section, key }));
        };
        Ok(Self {
            id,
            condition: draft.condition,
            overrides: draft.overrides,
            values: draft.values,
            reason,
            author: draft.author,
            expires_unix_s: draft.expires,
        })
    }

    /// Formats the exception as an INI section.
    pub fn print(&self) -> String {
        let draft = Draft {
            condition: self.condition.clone(),
            reason: Some(self.reason.clone()),
            author: self.author.clone(),
            expires: self.expires_unix_s,
            ..Draft::default()
        };
        let mut text = format!("[{}]\n", Self::header(&self.id));
        let own = Draft::TABLE.keys.iter().map(|key| (key.name, (key.print)(&draft)));
        for (name, value) in own.filter(|(_, value)| !value.is_empty()) {
            text.push_str(&format!("{name} = {value}\n"));
        }
        for key in self.keys() {
            text.push_str(&format!("{} = {}\n", key.name, (key.print)(&self.values)));
        }
        text
    }

    /// Applies the overriding values to `values`.
    pub(super) fn apply(&self, values: &mut Values) {
        for key in self.keys() {
            (key.copy)(&self.values, values);
        }
    }

    fn keys(&self) -> impl Iterator<Item = &'static Key<Values>> {
        self.overrides.iter().filter_map(|name| Values::TABLE.key("defaults", name))
    }
}
