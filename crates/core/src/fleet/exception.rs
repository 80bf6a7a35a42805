//! One exception.

use super::{Condition, Scope, Values};
use crate::ini::codec::{Codec, Label, Line, Maybe, Moment};
use crate::ini::{Document, Fault, Key, Result, Section, Table, key};
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

/// What an exception says besides its overrides, as it is being read.
#[derive(Debug, Default)]
struct Draft {
    condition: Condition,
    reason: Option<Name>,
    author: Option<Name>,
    expires: Option<u64>,
}

const SECTION: &str = "exception";

const KEYS: &[Key<Draft>] = &[
    key!("exception", condition.domain: Maybe<Label>, "The failure domain where it holds."),
    key!("exception", condition.worker: Maybe<Label>, "The worker for which it holds."),
    key!("exception", condition.kind: Maybe<Label>, "The kind of work for which it holds."),
    key!("exception", condition.caller: Maybe<Label>, "The caller for which it holds."),
    key!("exception", reason: Maybe<Line>, "Why it is needed; required."),
    key!("exception", author: Maybe<Line>, "Who added it."),
    key!("exception", expires: Maybe<Moment>, "When it ends by itself."),
];

const TABLE: Table<Draft> = Table { keys: KEYS, required: &[], check: |_, _| Ok(()) };

impl Exception {
    /// The word that starts the header of an exception.
    pub const SECTION: &'static str = SECTION;

    /// The header of the exception `id`, without its brackets.
    pub fn header(id: &str) -> String {
        format!("{SECTION} {id}")
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
        let Some(id) = Label::parse(id) else {
            return Err(at_header(Fault::Syntax {
                key: SECTION.to_owned(),
                value: id.to_owned(),
                expected: Label::EXPECTED.to_owned(),
            }));
        };
        let mut draft = Draft::default();
        let mut values = Values::default();
        let mut overrides = Vec::new();
        for entry in &section.entries {
            let read = if let Some(key) = TABLE.key(SECTION, &entry.key) {
                (key.read)(&mut draft, &entry.value)
            } else if let Some(key) = Values::TABLE.key("defaults", &entry.key) {
                overrides.push(key.name.into());
                (key.read)(&mut values, &entry.value)
            } else {
                let known = TABLE.names(SECTION).chain(Values::TABLE.names("defaults"));
                Err(Fault::unknown_key(&section.name, &entry.key, known))
            };
            read.map_err(|fault| document.error(entry.line, fault))?;
        }
        let conflict = |message: &str, remedy: &str| {
            let message = format!("exception `{id}` {message}");
            at_header(Fault::Conflict { message, remedy: remedy.to_owned() })
        };
        if draft.condition.is_empty() {
            let remedy = "add `domain`, `worker`, `kind` or `caller`, or change the defaults";
            return Err(conflict("matches everything", remedy));
        }
        if overrides.is_empty() {
            return Err(conflict("overrides nothing", "add a key of the defaults"));
        }
        if let Some(fault) = mismatch(&id, &draft.condition, &overrides) {
            return Err(at_header(fault));
        }
        let Some(reason) = draft.reason else {
            let (section, key) = (section.name.clone(), "reason".to_owned());
            return Err(at_header(Fault::Missing { section, key }));
        };
        Ok(Self {
            id,
            condition: draft.condition,
            overrides,
            values,
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
        };
        let mut text = format!("[{}]\n", Self::header(&self.id));
        let conditions = KEYS.iter().map(|key| (key.name, (key.print)(&draft)));
        for (name, value) in conditions.filter(|(_, value)| !value.is_empty()) {
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

/// The first override that the condition can never reach.
fn mismatch(id: &str, condition: &Condition, overrides: &[Name]) -> Option<Fault> {
    overrides.iter().find_map(|key| {
        let scope = Scope::of(key);
        let name = scope.mismatch(condition)?;
        let (applies, accepted) = (scope.as_str(), scope.conditions().join("`, `"));
        Some(Fault::Conflict {
            message: format!(
                "exception `{id}` overrides `{key}`, which applies to {applies}, by `{name}`"
            ),
            remedy: format!("give conditions on `{accepted}` only"),
        })
    })
}

/// Adds the rows of an exception's own keys to the reference page.
pub(crate) fn push_reference(page: &mut String) {
    crate::settings::reference::push_keys(page, &TABLE, SECTION, &Draft::default());
}
