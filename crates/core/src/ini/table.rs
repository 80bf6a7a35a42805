//! Tables of the keys of one type of file.

use super::{Document, Entry, Fault, Key, Required, Result, Section};
use std::path::Path;

/// The keys of a file, in the order of its reference page.
#[derive(Debug)]
pub struct Table<T: 'static> {
    /// The keys.
    pub keys: &'static [Key<T>],
    /// The keys that a file must contain because they have no meaningful default.
    pub required: &'static [Required],
    /// Checks that the values are consistent after all of them are parsed.
    pub check: fn(&T, &Document) -> Result<()>,
}

impl<T: Default> Table<T> {
    /// Reads the file at `path`; omitted keys keep their defaults.
    ///
    /// # Errors
    ///
    /// The error gives the file, the line and the remedy.
    pub fn load(&self, path: &Path) -> Result<T> {
        self.build(&Document::load(path)?)
    }

    /// Parses `text`; `file` is the file name used in error messages.
    ///
    /// # Errors
    ///
    /// The error gives the file, the line and the remedy.
    pub fn parse(&self, file: &str, text: &str) -> Result<T> {
        self.build(&Document::parse(file, text)?)
    }

    fn build(&self, document: &Document) -> Result<T> {
        let mut target = T::default();
        self.read(document, &mut target)?;
        (self.check)(&target, document)?;
        for Required { section, key } in self.required {
            document.require(section, key)?;
        }
        Ok(target)
    }
}

impl<T> Table<T> {
    /// Parses every section of `document` into `target`.
    ///
    /// # Errors
    ///
    /// Fails on the first unknown section or key and on the first invalid value.
    pub fn read(&self, document: &Document, target: &mut T) -> Result<()> {
        for section in &document.sections {
            self.read_section(document, section, target)?;
        }
        Ok(())
    }

    /// Formats `source` as an INI text that [`Table::read`] accepts.
    pub fn print(&self, source: &T) -> String {
        let mut text = String::new();
        for section in self.sections() {
            text.push_str(&format!("[{section}]\n"));
            for key in self.keys.iter().filter(|key| key.section == section) {
                text.push_str(&format!("{} = {}\n", key.name, (key.print)(source)));
            }
        }
        text
    }

    /// The distinct names of the sections, in the order of the table.
    pub fn sections(&self) -> Vec<&'static str> {
        let mut names = Vec::new();
        for key in self.keys {
            if !names.contains(&key.section) {
                names.push(key.section);
            }
        }
        names
    }

    fn read_section(&self, document: &Document, section: &Section, target: &mut T) -> Result<()> {
        if !self.sections().contains(&section.name.as_str()) {
            let fault = Fault::unknown_section(&section.name, self.sections());
            return Err(document.error(section.line, fault));
        }
        for entry in &section.entries {
            self.read_entry(&section.name, entry, target)
                .map_err(|fault| document.error(entry.line, fault))?;
        }
        Ok(())
    }

    /// Parses one entry of the section with this name.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key and on an invalid value.
    pub fn read_entry(
        &self,
        section: &str,
        entry: &Entry,
        target: &mut T,
    ) -> std::result::Result<(), Fault> {
        let Some(key) = self.key(section, &entry.key) else {
            return Err(Fault::unknown_key(section, &entry.key, self.names(section)));
        };
        (key.read)(target, &entry.value)
    }

    /// The key with this name in this section.
    pub fn key(&self, section: &str, name: &str) -> Option<&'static Key<T>> {
        self.keys.iter().find(|key| key.section == section && key.name == name)
    }

    /// Whether a file must contain this key.
    pub fn requires(&self, section: &str, name: &str) -> bool {
        self.required.iter().any(|required| required.section == section && required.key == name)
    }

    /// The names of the keys of a section.
    pub fn names(&self, section: &str) -> impl Iterator<Item = &'static str> + Clone {
        self.keys.iter().filter(move |key| key.section == section).map(|key| key.name)
    }
}
