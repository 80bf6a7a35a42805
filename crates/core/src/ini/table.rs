//! All keys of one kind of file.

use super::{Document, Entry, Fault, Key, Result, Section};

/// How many letters a misspelt key may differ from the one that is suggested.
const SUGGESTION_DISTANCE: usize = 2;

/// The keys of a file, in the order of its reference page.
#[derive(Debug)]
pub struct Table<T: 'static> {
    /// The keys.
    pub keys: &'static [Key<T>],
}

impl<T> Table<T> {
    /// Reads every section of `document` into `target`.
    ///
    /// # Errors
    ///
    /// Fails on the first unknown section or key and on the first value that is not accepted.
    pub fn read(&self, document: &Document, target: &mut T) -> Result<()> {
        for section in &document.sections {
            self.read_section(document, section, target)?;
        }
        Ok(())
    }

    /// Prints `source` as an INI text that [`Table::read`] reads back.
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

    /// The names of the sections, each once, in the order of the table.
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
            let known = quoted(self.sections());
            let fault = Fault::UnknownSection { name: section.name.clone(), known };
            return Err(document.error(section.line, fault));
        }
        for entry in &section.entries {
            self.read_entry(&section.name, entry, target)
                .map_err(|fault| document.error(entry.line, fault))?;
        }
        Ok(())
    }

    /// Reads one key of the section with this name.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key and on a value that is not accepted.
    pub fn read_entry(
        &self,
        section: &str,
        entry: &Entry,
        target: &mut T,
    ) -> std::result::Result<(), Fault> {
        let mut keys = self.keys.iter().filter(|key| key.section == section);
        let Some(key) = keys.find(|key| key.name == entry.key) else {
            return Err(self.unknown_key(section, &entry.key));
        };
        (key.read)(target, &entry.value)
    }

    fn unknown_key(&self, section: &str, name: &str) -> Fault {
        let known = self.keys.iter().filter(|key| key.section == section).map(|key| key.name);
        let nearest = known.clone().min_by_key(|key| distance(key, name));
        let hint = match nearest {
            Some(key) if distance(key, name) <= SUGGESTION_DISTANCE => {
                format!("did you mean `{key}`?")
            }
            _ => format!("use one of {}", quoted(known)),
        };
        Fault::UnknownKey { name: name.to_owned(), section: section.to_owned(), hint }
    }
}

fn quoted<'a>(names: impl IntoIterator<Item = &'a str>) -> String {
    let quoted: Vec<_> = names.into_iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}

/// The number of single-character edits between two words.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
