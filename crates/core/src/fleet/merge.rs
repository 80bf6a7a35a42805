//! Three-way merge of configurations, section by section.

use super::{Config, Exception, Values};
use crate::name::Name;
use serde::Serialize;

/// A section that both sides changed in different ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Conflict {
    /// The section header, such as `defaults` or `exception rush`.
    pub section: Name,
    /// The text of the section in `theirs`; `None` if it was removed there.
    pub theirs: Option<String>,
    /// The text of the section in `ours`; `None` if it was removed there.
    pub ours: Option<String>,
}

/// Merges `ours` and `theirs`, which are both based on `base`.
///
/// A section that only one side changed, added or removed is taken from that side. Exceptions are
/// in the order of `theirs`, followed by those that `ours` adds.
///
/// # Errors
///
/// Returns every section that both sides changed differently.
pub fn merge(base: &Config, ours: &Config, theirs: &Config) -> Result<Config, Vec<Conflict>> {
    let mut conflicts = Vec::new();
    let versions =
        Versions { base: &base.defaults, ours: &ours.defaults, theirs: &theirs.defaults };
    let defaults = versions.merge().cloned().unwrap_or_else(|| {
        conflicts.push(Conflict {
            section: "defaults".into(),
            theirs: Some(Values::TABLE.print(&theirs.defaults)),
            ours: Some(Values::TABLE.print(&ours.defaults)),
        });
        theirs.defaults.clone()
    });
    let mut exceptions = Vec::new();
    for id in ids(theirs, ours) {
        let (our_version, their_version) = (ours.exception(&id), theirs.exception(&id));
        let versions =
            Versions { base: base.exception(&id), ours: our_version, theirs: their_version };
        match versions.merge() {
            Some(merged) => exceptions.extend(merged.cloned()),
            None => conflicts.push(Conflict {
                section: Exception::header(&id).into(),
                theirs: their_version.map(Exception::print),
                ours: our_version.map(Exception::print),
            }),
        }
    }
    if conflicts.is_empty() { Ok(Config { defaults, exceptions }) } else { Err(conflicts) }
}

/// Three versions of one section.
struct Versions<T> {
    base: T,
    ours: T,
    theirs: T,
}

impl<T: PartialEq> Versions<T> {
    /// The merged version; `None` if both sides changed it differently.
    fn merge(self) -> Option<T> {
        if self.ours == self.base || self.ours == self.theirs {
            return Some(self.theirs);
        }
        (self.theirs == self.base).then_some(self.ours)
    }
}

/// The identifiers in `first`, then those that only `second` has.
fn ids(first: &Config, second: &Config) -> Vec<Name> {
    let known = first.exceptions.iter();
    let added =
        second.exceptions.iter().filter(|exception| first.exception(&exception.id).is_none());
    known.chain(added).map(|exception| exception.id.clone()).collect()
}
