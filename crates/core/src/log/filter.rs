//! A log filter: a default level and levels for individual targets.

use super::{Level, Result};
use std::str::FromStr;

/// The reason why a filter is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An unknown level.
    #[error("`{0}` is no log level; use off, critical, error, warn, info, debug or trace")]
    Level(String),
    /// There is no default level for targets without a rule.
    #[error("the filter `{0}` has no default level; start it with one, such as `info`")]
    NoDefaultLevel(String),
}

/// Decides which records are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter {
    text: String,
    default_level: Level,
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
        level <= longest.map_or(self.default_level, |rule| rule.level)
    }

    /// The text that the filter was parsed from.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl Rule {
    /// Whether `target` is the rule's module or one of its submodules.
    fn covers(&self, target: &str) -> bool {
        target
            .strip_prefix(&self.target)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    }
}

impl FromStr for Filter {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut default_level = None;
        let mut rules = Vec::new();
        for part in text.split(',').map(str::trim) {
            match part.split_once('=') {
                Some((target, name)) => {
                    rules
                        .push(Rule { target: target.trim().to_owned(), level: parse_level(name)? });
                }
                None => default_level = Some(parse_level(part)?),
            }
        }
        let default_level = default_level.ok_or_else(|| Error::NoDefaultLevel(text.to_owned()))?;
        Ok(Self { text: text.to_owned(), default_level, rules })
    }
}

fn parse_level(name: &str) -> Result<Level> {
    let name = name.trim();
    Level::parse(name).ok_or_else(|| Error::Level(name.to_owned()))
}
