//! The kinds that targets announce, by name.

use super::kind::Kind;
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::name::Name;
use std::ops::{Index, IndexMut};

/// The kinds that targets announce, by index; a kind is removed with its last member.
#[derive(Debug)]
pub(super) struct Kinds {
    kinds: Vec<Kind>,
    free: Vec<usize>,
    by_name: HashMap<Name, usize>,
}

impl Kinds {
    /// Creates an empty collection.
    pub(super) fn new() -> Self {
        Self { kinds: Vec::new(), free: Vec::new(), by_name: HashMap::new() }
    }

    /// Returns the kind with this name.
    pub(super) fn get(&self, name: &str) -> Option<&Kind> {
        self.by_name.get(name).map(|&index| &self.kinds[index])
    }

    /// Returns the kind with this name, mutable.
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Kind> {
        self.by_name.get(name).map(|&index| &mut self.kinds[index])
    }

    /// Adds a member to the kind with this name and returns the kind's index.
    pub(super) fn add_member(&mut self, name: &Name, ejected: bool) -> usize {
        let index = self.by_name.get(name).copied().unwrap_or_else(|| self.insert(name));
        self.kinds[index].members += 1;
        self.kinds[index].ejected += usize::from(ejected);
        index
    }

    /// Removes a member from the kind at `index`.
    pub(super) fn remove_member(&mut self, index: usize, ejected: bool) {
        let kind = &mut self.kinds[index];
        kind.members -= 1;
        kind.ejected -= usize::from(ejected);
        if kind.members == 0 {
            self.by_name.remove(&kind.name);
            self.free.push(index);
        }
    }

    fn insert(&mut self, name: &Name) -> usize {
        let kind = Kind::new(name.clone());
        let index = match self.free.pop() {
            Some(index) => {
                self.kinds[index] = kind;
                index
            }
            None => {
                self.kinds.push(kind);
                self.kinds.len() - 1
            }
        };
        self.by_name.insert(name.clone(), index);
        index
    }
}

impl Index<usize> for Kinds {
    type Output = Kind;

    fn index(&self, index: usize) -> &Kind {
        &self.kinds[index]
    }
}

impl IndexMut<usize> for Kinds {
    fn index_mut(&mut self, index: usize) -> &mut Kind {
        &mut self.kinds[index]
    }
}
