//! Identifies a target within a table.

use serde::{Deserialize, Serialize};

/// A place in the table; a place that is used again gets another generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Id {
    pub(super) index: u32,
    pub(super) generation: u32,
}

impl Id {
    /// The place in the table.
    pub(crate) fn index(self) -> usize {
        self.index as usize
    }

    /// How often the place was used before.
    pub(crate) fn generation(self) -> u32 {
        self.generation
    }
}
