//! Faults in INI texts.

/// Maximum edit distance between an unknown key and the suggested one.
const MAX_SUGGESTION_DISTANCE: usize = 2;

/// A fault whose message includes the values involved and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The file cannot be read.
    #[error("the file cannot be read ({0}); check the path and its permissions")]
    Unreadable(String),
    /// A control character, which other programs may read as a line ending or a terminal may
    /// interpret.
    #[error("the text has the control character {0:?}; save it with plain line feeds")]
    ControlCharacter(char),
    /// A section header without its closing bracket.
    #[error("`{0}` is not a section header; write it as `[name]`")]
    InvalidHeader(String),
    /// A line that is not a header and has no equals sign.
    #[error("`{0}` is neither a header nor a key; write it as `key = value`")]
    NoValue(String),
    /// A key before the first section header.
    #[error("key `{0}` is outside of any section; move it below a `[section]` header")]
    KeyOutsideSection(String),
    /// A duplicate section header.
    #[error("section `{name}` is already defined at line {first}; merge the two")]
    DuplicateSection {
        /// The section.
        name: String,
        /// The line number of its first header.
        first: u32,
    },
    /// A duplicate key in a section.
    #[error("key `{name}` is already set at line {first}; remove one of the two")]
    DuplicateKey {
        /// The key.
        name: String,
        /// The line number of its first occurrence.
        first: u32,
    },
    /// A section that is not valid in this file.
    #[error("section `{name}` is unknown; use one of {known}")]
    UnknownSection {
        /// The section.
        name: String,
        /// The valid names.
        known: String,
    },
    /// A key that is not valid in its section.
    #[error("key `{name}` is unknown in section `{section}`; {hint}")]
    UnknownKey {
        /// The key.
        name: String,
        /// Its section.
        section: String,
        /// The most similar valid key, or all valid keys.
        hint: String,
    },
    /// A value that cannot be parsed.
    #[error("`{value}` is not {expected}; correct the value of `{key}`")]
    Syntax {
        /// The key.
        key: String,
        /// The value as written.
        value: String,
        /// The expected form of the value.
        expected: String,
    },
    /// A value outside of its valid range.
    #[error("`{value}` is out of range for `{key}`; use a value from {lowest} to {highest}")]
    Range {
        /// The key.
        key: String,
        /// The value as written.
        value: String,
        /// The minimum.
        lowest: String,
        /// The maximum.
        highest: String,
    },
    /// A required key that is missing or empty.
    #[error("section `{section}` has no `{key}`; add a line `{key} = …`")]
    Missing {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// Values that are inconsistent with each other.
    #[error("{message}; {remedy}")]
    Conflict {
        /// A description of the conflict, including the values.
        message: String,
        /// The recommended change.
        remedy: String,
    },
}

impl Fault {
    /// Creates a fault for values that are inconsistent with each other.
    pub fn conflict(message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::Conflict { message: message.into(), remedy: remedy.into() }
    }

    /// Creates a fault for a section that is not one of `known`.
    pub fn unknown_section<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Self {
        Self::UnknownSection { name: name.to_owned(), known: quoted(known) }
    }

    /// Creates a fault for a key that is not one of `known`; suggests the most similar one.
    pub fn unknown_key<'a>(
        section: &str,
        name: &str,
        known: impl Iterator<Item = &'a str> + Clone,
    ) -> Self {
        let nearest = known.clone().min_by_key(|key| distance(key, name));
        let hint = match nearest {
            Some(key) if distance(key, name) <= MAX_SUGGESTION_DISTANCE => {
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

/// The Levenshtein distance between two words.
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
