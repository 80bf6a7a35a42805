//! One exception.

use super::draft::Draft;
use super::{Condition, Values};
use crate::ini::codec::{self, Label};
use crate::ini::{Document, Fault, Key, Result, Section};
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Overrides some values where its condition matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Its stable identifier, unique in the configuration.
    pub id: Name,
    /// Where it holds.
    pub condition: Condition,
    /// The names of the keys that it overrides.
    pub overrides: Vec<Name>,
    /// The overriding values; other keys have their built-in defaults and do not count.
    pub values: Values,
    /// Why it is needed.
    pub reason: Name,
    /// Who added it.
    pub author: Option<Name>,
    /// When it ends by itself, in seconds since 1970.
    pub expires_unix_s: Option<u64>,
}

impl Exception {
    /// The word that starts the header of an exception.
    pub const SECTION: &'static str = "exception";

    /// The header of the exception `id`, without its brackets.
    pub fn header(id: &str) -> String {
        format!("{} {id}", Self::SECTION)
    }

    /// Whether it holds at `unix_now_s`, in seconds since 1970.
    pub fn is_in_force(&self, unix_now_s: u64) -> bool {
        self.expires_unix_s.is_none_or(|expires| unix_now_s < expires)
    }

    /// Reads the exception `id` from its section.
    ///
    /// # Errors
    ///
    /// Fails on unknown keys, refused values, and when reason, condition or overrides are missing.
    pub(super) fn read(document: &Document, section: &Section, id: &str) -> Result<Self> {
        let at_header = |fault| document.error(section.line, fault);
        let id = codec::read::<Label>(Self::SECTION, id).map_err(at_header)?;
        let mut draft = Draft::default();
        for entry in &section.entries {
            let read = draft.read_entry(&section.name, entry);
            read.map_err(|fault| document.error(entry.line, fault))?;
        }
        if let Some(fault) = draft.fault(&id) {
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

    /// Prints its section.
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

    /// Writes the overriding values into `values`.
    pub(super) fn apply(&self, values: &mut Values) {
        for key in self.keys() {
            (key.copy)(&self.values, values);
        }
    }

    fn keys(&self) -> impl Iterator<Item = &'static Key<Values>> {
        self.overrides.iter().filter_map(|name| Values::TABLE.key("defaults", name))
    }
}
