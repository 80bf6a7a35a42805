//! What can be wrong in an INI text.

/// How many letters a misspelt key may differ from the one that is suggested.
const SUGGESTION_DISTANCE: usize = 2;

/// A fault whose message names the values at hand and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The file cannot be read.
    #[error("the file cannot be read ({0}); check the path and its permissions")]
    Unreadable(String),
    /// A character that would end a line elsewhere, or that a terminal acts on.
    #[error("the text has the control character {0:?}; save it with plain line feeds")]
    Control(char),
    /// A header without its closing bracket.
    #[error("`{0}` is not a section header; write it as `[name]`")]
    Header(String),
    /// A line without an equals sign.
    #[error("`{0}` is neither a header nor a key; write it as `key = value`")]
    NoValue(String),
    /// A key above the first header.
    #[error("key `{0}` stands outside of any section; put it below a `[section]` header")]
    Outside(String),
    /// A header that appears twice.
    #[error("section `{name}` already stands at line {first}; merge the two")]
    DuplicateSection {
        /// The section.
        name: String,
        /// The line of its first header.
        first: u32,
    },
    /// A key that appears twice in its section.
    #[error("key `{name}` already stands at line {first}; remove one of the two")]
    DuplicateKey {
        /// The key.
        name: String,
        /// The line of its first appearance.
        first: u32,
    },
    /// A section that this file does not have.
    #[error("section `{name}` is unknown; use one of {known}")]
    UnknownSection {
        /// The section.
        name: String,
        /// The names that are known.
        known: String,
    },
    /// A key that its section does not have.
    #[error("key `{name}` is unknown in section `{section}`; {hint}")]
    UnknownKey {
        /// The key.
        name: String,
        /// Its section.
        section: String,
        /// The nearest key, or all of them.
        hint: String,
    },
    /// A value that does not parse.
    #[error("`{value}` is not {expected}; correct the value of `{key}`")]
    Syntax {
        /// The key.
        key: String,
        /// The value as written.
        value: String,
        /// What the key takes.
        expected: String,
    },
    /// A value outside of its range.
    #[error("`{value}` is out of range for `{key}`; use a value from {lowest} to {highest}")]
    Range {
        /// The key.
        key: String,
        /// The value as written.
        value: String,
        /// The lowest accepted value.
        lowest: String,
        /// The highest accepted value.
        highest: String,
    },
    /// A key that has to be given.
    #[error("section `{section}` has no `{key}`; add a line `{key} = …`")]
    Missing {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// Values that contradict each other.
    #[error("{message}; {remedy}")]
    Conflict {
        /// What contradicts what, with the values.
        message: String,
        /// What to change.
        remedy: String,
    },
}

impl Fault {
    /// Values that contradict each other.
    pub fn conflict(message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::Conflict { message: message.into(), remedy: remedy.into() }
    }

    /// A section that is none of `known`.
    pub fn unknown_section<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Self {
        Self::UnknownSection { name: name.to_owned(), known: quoted(known) }
    }

    /// A key that is none of `known`; suggests the nearest.
    pub fn unknown_key<'a>(
        section: &str,
        name: &str,
        known: impl Iterator<Item = &'a str> + Clone,
    ) -> Self {
        let nearest = known.clone().min_by_key(|key| distance(key, name));
        let hint = match nearest {
            Some(key) if distance(key, name) <= SUGGESTION_DISTANCE => {
                format!("did you mean `{key}`?")
            }
            _ => format!("use one of {}", quoted(known)),
        };
        Self::UnknownKey { name: name.to_owned(), section: section.to_owned(), hint }
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
