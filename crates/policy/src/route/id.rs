//! Identifier of a target within a table.

use serde::{Deserialize, Serialize};

/// Index of a target, with a generation that distinguishes reuses of the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Id {
    pub(super) index: u32,
    pub(super) generation: u32,
}

impl Id {
    /// Returns the index in the table.
    pub(crate) fn index(self) -> usize {
        self.index as usize
    }

    /// Returns how often the index was used before, wrapping.
    pub(crate) fn generation(self) -> u32 {
        self.generation
    }
}
