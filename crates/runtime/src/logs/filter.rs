//! Which records are written.

use spdlog::{Level, LevelFilter};
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

/// A level for every target, and levels for some of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter {
    text: String,
    general: LevelFilter,
    rules: Vec<Rule>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Rule {
    target: String,
    level: LevelFilter,
}

impl Filter {
    /// Whether a record of `level` from `target` is written.
    pub fn allows(&self, level: Level, target: &str) -> bool {
        let matching = self.rules.iter().filter(|rule| rule.covers(target));
        let limit = match matching.max_by_key(|rule| rule.target.len()) {
            Some(rule) => rule.level,
            None => self.general,
        };
        limit.test(level)
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

    fn from_str(text: &str) -> Result<Self, Error> {
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

fn level(name: &str) -> Result<LevelFilter, Error> {
    let name = name.trim();
    if name == "off" {
        return Ok(LevelFilter::Off);
    }
    name.parse().map(LevelFilter::MoreSevereEqual).map_err(|_| Error::Level(name.to_owned()))
}
