//! Merges two edits of the same configuration, section by section.

use super::{Config, Exception, Values};
use crate::name::Name;
use serde::Serialize;

/// A section that both edits changed, in different ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Conflict {
    /// The section, such as `defaults` or `exception rush`.
    pub section: Name,
    /// The section as the other edit left it; `None` when that edit removed it.
    pub theirs: Option<String>,
    /// The section of this edit; `None` when this edit removed it.
    pub ours: Option<String>,
}

/// Merges `ours` and `theirs`, which both started from `base`.
///
/// A section that only one of them changed, added or removed is taken from that one. The order of
/// exceptions is that of `theirs`, followed by those that `ours` adds.
///
/// # Errors
///
/// Names every section that both changed differently.
pub fn merge(base: &Config, ours: &Config, theirs: &Config) -> Result<Config, Vec<Conflict>> {
    let mut clashes = Vec::new();
    let sides = Sides { base: &base.defaults, ours: &ours.defaults, theirs: &theirs.defaults };
    let defaults = sides.pick().cloned().unwrap_or_else(|| {
        clashes.push(Conflict {
            section: "defaults".into(),
            theirs: Some(Values::TABLE.print(&theirs.defaults)),
            ours: Some(Values::TABLE.print(&ours.defaults)),
        });
        theirs.defaults.clone()
    });
    let mut exceptions = Vec::new();
    for id in ids(theirs, ours) {
        let (mine, other) = (ours.exception(&id), theirs.exception(&id));
        let sides = Sides { base: base.exception(&id), ours: mine, theirs: other };
        match sides.pick() {
            Some(picked) => exceptions.extend(picked.cloned()),
            None => clashes.push(Conflict {
                section: Exception::header(&id).into(),
                theirs: other.map(Exception::print),
                ours: mine.map(Exception::print),
            }),
        }
    }
    if clashes.is_empty() { Ok(Config { defaults, exceptions }) } else { Err(clashes) }
}

/// Three versions of one section.
struct Sides<T> {
    base: T,
    ours: T,
    theirs: T,
}

impl<T: PartialEq> Sides<T> {
    /// The version that holds, `None` when both changed it differently.
    fn pick(self) -> Option<T> {
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
