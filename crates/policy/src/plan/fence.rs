use serde::{Deserialize, Serialize};

/// Bits of a fence that hold the generation; the epoch is in those above.
const GENERATION_BITS: u32 = 20;
/// The largest generation that a fence holds.
const MAX_GENERATION: u64 = (1 << GENERATION_BITS) - 1;

/// The number by which a worker refuses calls that are no longer meant: those of a former owner, and those that
/// its agent sent to a former incarnation of it.
///
/// An agent numbers the incarnations of its worker that follow the first that its owner knows; that number is the
/// generation. The owner keeps it for the next process of the agent. Once an incarnation has seen its own fence, it carries out no older call, however late that arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(u64);

impl Fence {
    /// Creates the fence of the owner with `epoch` for the generation of a worker.
    pub fn new(epoch: u64, generation: u64) -> Self {
        Self((epoch << GENERATION_BITS) | generation.min(MAX_GENERATION))
    }

    /// Returns the epoch of the owner.
    pub fn epoch(self) -> u64 {
        self.0 >> GENERATION_BITS
    }

    /// Returns the number that workers compare.
    pub fn number(self) -> u64 {
        self.0
    }
}
