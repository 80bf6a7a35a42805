//! The kinds that targets announce.

use super::kind::Kind;
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::name::Name;
use std::ops::{Index, IndexMut};

/// The kinds that targets announce, by number; a kind without members is forgotten.
#[derive(Debug)]
pub(super) struct Kinds {
    kinds: Vec<Kind>,
    free: Vec<usize>,
    by_name: HashMap<Name, usize>,
}

impl Kinds {
    /// No kinds.
    pub(super) fn new() -> Self {
        Self { kinds: Vec::new(), free: Vec::new(), by_name: HashMap::new() }
    }

    /// The kind of this name.
    pub(super) fn get(&self, name: &str) -> Option<&Kind> {
        self.by_name.get(name).map(|&number| &self.kinds[number])
    }

    /// The kind of this name, to be changed.
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Kind> {
        self.by_name.get(name).map(|&number| &mut self.kinds[number])
    }

    /// Counts a member of the kind of this name, and gives the kind's number.
    pub(super) fn join(&mut self, name: &Name, ejected: bool) -> usize {
        let number = self.by_name.get(name).copied().unwrap_or_else(|| self.add(name));
        self.kinds[number].members += 1;
        self.kinds[number].ejected += usize::from(ejected);
        number
    }

    /// Counts a member of the kind with this number no longer.
    pub(super) fn leave(&mut self, number: usize, ejected: bool) {
        let kind = &mut self.kinds[number];
        kind.members -= 1;
        kind.ejected -= usize::from(ejected);
        if kind.members == 0 {
            self.by_name.remove(&kind.name);
            self.free.push(number);
        }
    }

    fn add(&mut self, name: &Name) -> usize {
        let kind = Kind::new(name.clone());
        let number = match self.free.pop() {
            Some(number) => {
                self.kinds[number] = kind;
                number
            }
            None => {
                self.kinds.push(kind);
                self.kinds.len() - 1
            }
        };
        self.by_name.insert(name.clone(), number);
        number
    }
}

impl Index<usize> for Kinds {
    type Output = Kind;

    fn index(&self, number: usize) -> &Kind {
        &self.kinds[number]
    }
}

impl IndexMut<usize> for Kinds {
    fn index_mut(&mut self, number: usize) -> &mut Kind {
        &mut self.kinds[number]
    }
}
