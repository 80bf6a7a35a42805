//! A level for every target, and levels for some of them.

use super::{Level, Result};
use std::str::FromStr;

/// Why a filter is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A level that does not exist.
    #[error("`{0}` is no log level; use off, critical, error, warn, info, debug or trace")]
    Level(String),
    /// No level for targets that are not named.
    #[error("the filter `{0}` names no general level; start it with one, such as `info`")]
    General(String),
}

/// Decides which records are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter {
    text: String,
    general: Level,
    rules: Vec<Rule>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Rule {
    target: String,
    level: Level,
}

impl Filter {
    /// Whether a record of `level` from `target` is written.
    pub fn allows(&self, level: Level, target: &str) -> bool {
        let matching = self.rules.iter().filter(|rule| rule.covers(target));
        let longest = matching.max_by_key(|rule| rule.target.len());
        level <= longest.map_or(self.general, |rule| rule.level)
    }

    /// The filter as it was written.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl Rule {
    /// Whether `target` is the rule's module or lies within it.
    fn covers(&self, target: &str) -> bool {
        target
            .strip_prefix(&self.target)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    }
}

impl FromStr for Filter {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut general = None;
        let mut rules = Vec::new();
        for part in text.split(',').map(str::trim) {
            match part.split_once('=') {
                Some((target, name)) => {
                    rules.push(Rule { target: target.trim().to_owned(), level: level(name)? });
                }
                None => general = Some(level(part)?),
            }
        }
        let general = general.ok_or_else(|| Error::General(text.to_owned()))?;
        Ok(Self { text: text.to_owned(), general, rules })
    }
}

fn level(name: &str) -> Result<Level> {
    let name = name.trim();
    Level::parse(name).ok_or_else(|| Error::Level(name.to_owned()))
}
