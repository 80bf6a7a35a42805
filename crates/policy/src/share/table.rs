//! Requests in progress by caller and class.

use shallotflow_core::class::Class;
use std::hash::{BuildHasher, Hasher};

const ROWS: usize = 2;
const CELLS: usize = 4_096;

/// Count-min sketch: counts per caller in a fixed number of cells.
///
/// The two rows hash a caller differently; the smaller of its two counts is the estimate, which is
/// never too low and rarely too high.
#[derive(Debug)]
struct Sketch {
    cells: [Vec<u32>; ROWS],
    total: u32,
    /// Nonzero cells of the first row, which approximates the number of callers.
    used_cells: u32,
}

impl Sketch {
    fn new() -> Self {
        Self { cells: [vec![0; CELLS], vec![0; CELLS]], total: 0, used_cells: 0 }
    }

    fn add(&mut self, positions: [usize; ROWS]) {
        self.total += 1;
        self.used_cells += u32::from(self.cells[0][positions[0]] == 0);
        for (row, position) in self.cells.iter_mut().zip(positions) {
            row[position] += 1;
        }
    }

    fn remove(&mut self, positions: [usize; ROWS]) {
        if positions.iter().zip(&self.cells).any(|(&position, row)| row[position] == 0) {
            return;
        }
        self.total -= 1;
        for (row, position) in self.cells.iter_mut().zip(positions) {
            row[position] -= 1;
        }
        self.used_cells -= u32::from(self.cells[0][positions[0]] == 0);
    }

    fn estimate(&self, positions: [usize; ROWS]) -> u32 {
        self.cells.iter().zip(positions).map(|(row, position)| row[position]).min().unwrap_or(0)
    }
}

/// Requests in progress by caller and class; its size does not depend on the number of callers.
#[derive(Debug)]
pub struct Table {
    seed: u64,
    quick: Sketch,
    watch: Sketch,
}

impl Table {
    /// Creates an empty table; callers are hashed with `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed, quick: Sketch::new(), watch: Sketch::new() }
    }

    /// Adds a request that begins.
    pub fn enter(&mut self, caller: &str, class: Class) {
        let positions = self.positions(caller);
        self.sketch_mut(class).add(positions);
    }

    /// Removes a request that ends.
    pub fn leave(&mut self, caller: &str, class: Class) {
        let positions = self.positions(caller);
        self.sketch_mut(class).remove(positions);
    }

    /// Estimated requests of `caller` in progress; may include requests of others, never too low.
    pub fn in_progress(&self, caller: &str, class: Class) -> u32 {
        self.sketch(class).estimate(self.positions(caller))
    }

    /// Requests of all callers in progress.
    pub fn total(&self, class: Class) -> u32 {
        self.sketch(class).total
    }

    /// Approximate number of callers with requests in progress.
    pub fn callers(&self, class: Class) -> u32 {
        self.sketch(class).used_cells
    }

    fn sketch(&self, class: Class) -> &Sketch {
        match class {
            Class::Watch => &self.watch,
            Class::Quick | Class::Batch => &self.quick,
        }
    }

    fn sketch_mut(&mut self, class: Class) -> &mut Sketch {
        match class {
            Class::Watch => &mut self.watch,
            Class::Quick | Class::Batch => &mut self.quick,
        }
    }

    fn positions(&self, caller: &str) -> [usize; ROWS] {
        let mut hasher = foldhash::fast::FixedState::with_seed(self.seed).build_hasher();
        hasher.write(caller.as_bytes());
        let hash = hasher.finish();
        // The two halves of one hash are independent and serve as two hashes.
        [hash as usize % CELLS, (hash >> 32) as usize % CELLS]
    }
}
