//! Requests in progress, by caller and class.

use shallotflow_core::class::Class;
use std::hash::{BuildHasher, Hasher};

const ROWS: usize = 2;
const CELLS: usize = 4_096;

/// Counts per caller in a fixed number of cells.
///
/// Two rows hash a caller differently; the smaller of its two counts is the estimate, which is
/// never too low and rarely too high.
#[derive(Debug)]
struct Counts {
    cells: [Vec<u32>; ROWS],
    total: u32,
    /// Cells of the first row that are in use: about the number of callers.
    used: u32,
}

impl Counts {
    fn new() -> Self {
        Self { cells: [vec![0; CELLS], vec![0; CELLS]], total: 0, used: 0 }
    }

    fn add(&mut self, places: [usize; ROWS]) {
        self.total += 1;
        self.used += u32::from(self.cells[0][places[0]] == 0);
        for (row, place) in self.cells.iter_mut().zip(places) {
            row[place] += 1;
        }
    }

    fn remove(&mut self, places: [usize; ROWS]) {
        if places.iter().zip(&self.cells).any(|(&place, row)| row[place] == 0) {
            return;
        }
        self.total -= 1;
        for (row, place) in self.cells.iter_mut().zip(places) {
            row[place] -= 1;
        }
        self.used -= u32::from(self.cells[0][places[0]] == 0);
    }

    fn of(&self, places: [usize; ROWS]) -> u32 {
        self.cells.iter().zip(places).map(|(row, place)| row[place]).min().unwrap_or(0)
    }
}

/// Requests in progress, by caller and class; its size does not depend on the callers.
#[derive(Debug)]
pub struct Table {
    seed: u64,
    quick: Counts,
    watch: Counts,
}

impl Table {
    /// An empty table; callers are hashed with `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed, quick: Counts::new(), watch: Counts::new() }
    }

    /// Counts a request that begins.
    pub fn enter(&mut self, caller: &str, class: Class) {
        let places = self.places(caller);
        self.counts_mut(class).add(places);
    }

    /// Counts a request that ends.
    pub fn leave(&mut self, caller: &str, class: Class) {
        let places = self.places(caller);
        self.counts_mut(class).remove(places);
    }

    /// Requests of `caller` in progress; may count those of others too, never fewer.
    pub fn in_progress(&self, caller: &str, class: Class) -> u32 {
        self.counts(class).of(self.places(caller))
    }

    /// Requests in progress.
    pub fn total(&self, class: Class) -> u32 {
        self.counts(class).total
    }

    /// About how many callers have requests in progress.
    pub fn callers(&self, class: Class) -> u32 {
        self.counts(class).used
    }

    fn counts(&self, class: Class) -> &Counts {
        match class {
            Class::Watch => &self.watch,
            Class::Quick | Class::Batch => &self.quick,
        }
    }

    fn counts_mut(&mut self, class: Class) -> &mut Counts {
        match class {
            Class::Watch => &mut self.watch,
            Class::Quick | Class::Batch => &mut self.quick,
        }
    }

    fn places(&self, caller: &str) -> [usize; ROWS] {
        let mut hasher = foldhash::fast::FixedState::with_seed(self.seed).build_hasher();
        hasher.write(caller.as_bytes());
        let hash = hasher.finish();
        // Two independent halves of one hash serve as two hashes.
        [hash as usize % CELLS, (hash >> 32) as usize % CELLS]
    }
}
