//! The fleet configuration.

use super::{Exception, Subject, Values};
use crate::ini::{Document, Fault, Result, Section};
use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::path::Path;

/// Defaults and exceptions, the latter in the order of the text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Values that apply unless an exception overrides them.
    pub defaults: Values,
    /// The exceptions.
    pub exceptions: Vec<Exception>,
}

impl Config {
    /// Maximum size of the text in bytes; the store rejects larger values.
    pub const MAX_TEXT_BYTES: usize = 512 * 1024;
    /// Maximum number of exceptions.
    pub const MAX_EXCEPTIONS: usize = 1_000;

    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// The error gives the file, the line and the remedy.
    pub fn load(path: &Path) -> Result<Self> {
        Self::read(&Document::load(path)?)
    }

    /// Parses and validates `text`; `file` is the file name used in error messages.
    ///
    /// # Errors
    ///
    /// The error gives the file, the line and the remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let document = Document::parse(file, text)?;
        if text.len() > Self::MAX_TEXT_BYTES {
            let message =
                format!("the text has {} bytes, the limit is {}", text.len(), Self::MAX_TEXT_BYTES);
            let remedy = "remove exceptions that are no longer needed";
            return Err(document.error(1, Fault::conflict(message, remedy)));
        }
        Self::read(&document)
    }

    /// Formats the configuration as a text that [`Config::parse`] accepts.
    pub fn print(&self) -> String {
        let mut text = Values::TABLE.print(&self.defaults);
        for exception in &self.exceptions {
            text.push('\n');
            text.push_str(&exception.print());
        }
        text
    }

    /// The values for `subject` at `unix_now_s`, in seconds since the Unix epoch.
    ///
    /// The module documentation describes the precedence rules. The result is a pure function of
    /// the arguments, so every process resolves the same values.
    pub fn resolve(&self, subject: &Subject<'_>, unix_now_s: u64) -> Values {
        let mut matching: Vec<&Exception> = self
            .exceptions
            .iter()
            .filter(|exception| exception.is_in_force(unix_now_s))
            .filter(|exception| exception.condition.matches(subject))
            .collect();
        // The sort is stable, so that of equally specific exceptions the later one is applied last.
        matching.sort_by_key(|exception| exception.condition.specificity());
        let mut values = self.defaults.clone();
        for exception in matching {
            exception.apply(&mut values);
        }
        values
    }

    /// The failure domains whose workers all drain at `unix_now_s`, in seconds since the Unix epoch.
    ///
    /// A domain is evacuated by an exception with only a `domain` condition that sets `drain`. It is
    /// not while another exception takes one of its workers back by `domain` and `worker`. One that
    /// names only the worker does not count, as the configuration does not tell the domain of a
    /// worker. The result is a pure function of the arguments.
    pub fn evacuated_domains(&self, unix_now_s: u64) -> BTreeSet<Name> {
        let in_force = || {
            let drains = self.exceptions.iter().filter(|exception| exception.sets("drain"));
            drains.filter(move |exception| exception.is_in_force(unix_now_s))
        };
        let kept: BTreeSet<&Name> = in_force()
            .filter(|exception| !exception.values.drain && exception.condition.worker.is_some())
            .filter_map(|exception| exception.condition.domain.as_ref())
            .collect();
        in_force()
            .filter(|exception| exception.condition.worker.is_none())
            .filter_map(|exception| exception.condition.domain.as_ref())
            .filter(|domain| !kept.contains(domain))
            .filter(|domain| {
                let subject = Subject { domain, ..Subject::default() };
                self.resolve(&subject, unix_now_s).drain
            })
            .cloned()
            .collect()
    }

    /// The exception with this identifier.
    pub fn exception(&self, id: &str) -> Option<&Exception> {
        self.exceptions.iter().find(|exception| &*exception.id == id)
    }

    fn read(document: &Document) -> Result<Self> {
        let mut config = Self::default();
        for section in &document.sections {
            config.read_section(document, section)?;
        }
        if config.exceptions.len() > Self::MAX_EXCEPTIONS {
            let message = format!("there are {} exceptions", config.exceptions.len());
            let remedy = format!("keep at most {}", Self::MAX_EXCEPTIONS);
            return Err(document.error(1, Fault::conflict(message, remedy)));
        }
        Ok(config)
    }

    fn read_section(&mut self, document: &Document, section: &Section) -> Result<()> {
        let name = section.name.as_str();
        if name == "defaults" {
            return section.entries.iter().try_for_each(|entry| {
                let read = Values::TABLE.read_entry(name, entry, &mut self.defaults);
                read.map_err(|fault| document.error(entry.line, fault))
            });
        }
        let Some(id) = exception_id(name) else {
            let fault = Fault::unknown_section(name, ["defaults", "exception ID"]);
            return Err(document.error(section.line, fault));
        };
        let exception = Exception::read(document, section, id)?;
        if self.exception(&exception.id).is_some() {
            let message = format!("exception `{}` is defined twice", exception.id);
            let fault = Fault::conflict(message, "give each its own identifier");
            return Err(document.error(section.line, fault));
        }
        self.exceptions.push(exception);
        Ok(())
    }
}

fn exception_id(section: &str) -> Option<&str> {
    let id = section.strip_prefix(Exception::SECTION)?;
    id.starts_with(char::is_whitespace).then(|| id.trim())
}
