//! INI documents as sections of entries.

use super::{Entry, Error, Fault, Result, Section};
use crate::name::Name;
use ini_core::{Item, Parser};
use std::path::Path;

/// Reads the text of the file at `path`.
///
/// # Errors
///
/// Fails if the file cannot be read or is not UTF-8 text.
pub fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| Error {
        file: path.display().to_string().into(),
        line: 0,
        fault: Fault::Unreadable(error.to_string()),
    })
}

/// A parsed INI text; its sections and keys are not interpreted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The file name as given by the operator.
    pub file: Name,
    /// The sections in the order of the text.
    pub sections: Vec<Section>,
}

impl Document {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not a valid INI text.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&path.display().to_string(), &read_text(path)?)
    }

    /// Parses `text`; `file` is the file name used in error messages.
    ///
    /// # Errors
    ///
    /// Fails on control characters, on lines that are neither a header, a key nor a comment, on keys
    /// outside of a section, and on duplicate sections and keys.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut document = Self { file: file.into(), sections: Vec::new() };
        if let Some((line, character)) = first_control_character(text) {
            return Err(document.error(line, Fault::ControlCharacter(character)));
        }
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            // The parser does not count a last line without a line feed, so take the line number before
            // the next item.
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            match item {
                Item::Error(header) => return Err(document.error(line, header_fault(header))),
                Item::Section(name) => document.open_section(name, line)?,
                Item::Property(key, _) if key.starts_with([';', '#']) => {}
                Item::Property(key, None) => {
                    return Err(document.error(line, Fault::NoValue(key.to_owned())));
                }
                Item::Property(key, Some(value)) => document.add_entry(key, value, line)?,
                Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            }
        }
        Ok(document)
    }

    /// The section with this name.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// The line of the key; that of its section if the key is missing, 1 if both are.
    pub fn line_of(&self, section: &str, key: &str) -> u32 {
        let Some(section) = self.section(section) else { return 1 };
        section.entry(key).map_or(section.line, |entry| entry.line)
    }

    /// Checks that the key is present and its value is not empty.
    ///
    /// # Errors
    ///
    /// [`Fault::Missing`] at the line of the key, or else of its section.
    pub fn require(&self, section: &str, key: &str) -> Result<()> {
        let entry = self.section(section).and_then(|section| section.entry(key));
        if entry.is_some_and(|entry| !entry.value.is_empty()) {
            return Ok(());
        }
        let fault = Fault::Missing { section: section.to_owned(), key: key.to_owned() };
        Err(self.error(self.line_of(section, key), fault))
    }

    /// Creates an error for `fault` at a line of this document.
    pub fn error(&self, line: u32, fault: Fault) -> Error {
        Error { file: self.file.clone(), line, fault }
    }

    fn open_section(&mut self, name: &str, line: u32) -> Result<()> {
        if let Some(first) = self.section(name).map(|section| section.line) {
            return Err(self.error(line, Fault::DuplicateSection { name: name.to_owned(), first }));
        }
        self.sections.push(Section { name: name.to_owned(), line, entries: Vec::new() });
        Ok(())
    }

    fn add_entry(&mut self, key: &str, value: &str, line: u32) -> Result<()> {
        let Some(section) = self.sections.last() else {
            return Err(self.error(line, Fault::KeyOutsideSection(key.to_owned())));
        };
        if let Some(first) = section.entry(key).map(|entry| entry.line) {
            return Err(self.error(line, Fault::DuplicateKey { name: key.to_owned(), first }));
        }
        let entry = Entry { key: key.to_owned(), value: value.to_owned(), line };
        if let Some(section) = self.sections.last_mut() {
            section.entries.push(entry);
        }
        Ok(())
    }
}

fn header_fault(header: &str) -> Fault {
    Fault::InvalidHeader(header.trim().to_owned())
}

/// Finds the first control character that is neither a tab nor part of a line ending; returns it
/// with its line.
fn first_control_character(text: &str) -> Option<(u32, char)> {
    for (line, content) in (1..).zip(text.split('\n')) {
        let content = content.strip_suffix('\r').unwrap_or(content);
        if let Some(character) = content.chars().find(|c| c.is_control() && *c != '\t') {
            return Some((line, character));
        }
    }
    None
}
