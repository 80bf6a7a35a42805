//! An upper bound of the jobs that any schedule can end in time, with all jobs known in advance.
//!
//! Jobs may be split without limit and may end in part, and use every processor that other tasks
//! leave idle. The amounts of work that can be done in time then form a polymatroid, for which it is
//! optimal to serve the jobs with the least work first.

/// Work to be done between two steps.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) from: u64,
    pub(super) until: u64,
    /// Processor-milliseconds.
    pub(super) work: f64,
}

/// Difference of two amounts of work that can be due to rounding.
const ROUNDING: f64 = 1e-6;
/// Halvings by which the feasible part of a job is found.
const HALVINGS: u32 = 10;
/// Steps that are taken together.
const STEPS_PER_SLOT: usize = 5;

/// Returns whether all of `demands`, sorted by `until`, can be done with `idle` processor time.
fn feasible(demands: &[Demand], idle: &[f64]) -> bool {
    let mut idle = idle.to_vec();
    // With every job in the order of its deadline and taking the earliest time, the work that is
    // already placed never blocks a later job more than any other order would.
    let mut left: Vec<f64> = demands.iter().map(|demand| demand.work).collect();
    for (slot, capacity) in idle.iter_mut().enumerate() {
        let slot = slot as u64;
        for (demand, left) in demands.iter().zip(&mut left) {
            if demand.from > slot || *left <= 0.0 {
                continue;
            }
            if demand.until < slot {
                return false;
            }
            let used = left.min(*capacity);
            *left -= used;
            *capacity -= used;
            if *capacity <= 0.0 {
                break;
            }
        }
    }
    left.iter().all(|left| *left <= ROUNDING)
}

/// Returns the highest number of `demands` that can be done, counting parts of jobs; `idle` holds
/// the processor-milliseconds that each step leaves idle.
pub(super) fn bound(demands: &[Demand], idle: &[f64]) -> f64 {
    let slots: Vec<f64> = idle.chunks(STEPS_PER_SLOT).map(|chunk| chunk.iter().sum()).collect();
    let wide = STEPS_PER_SLOT as u64;
    let mut sorted: Vec<Demand> = demands
        .iter()
        .map(|demand| Demand { from: demand.from / wide, until: demand.until / wide, ..*demand })
        .collect();
    sorted.sort_by(|a, b| a.work.total_cmp(&b.work));
    let mut chosen: Vec<Demand> = Vec::new();
    let mut count = 0.0;
    for demand in sorted {
        let position = chosen.partition_point(|other| other.until <= demand.until);
        chosen.insert(position, demand);
        if feasible(&chosen, &slots) {
            count += 1.0;
            continue;
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..HALVINGS {
            let middle = f64::midpoint(low, high);
            chosen[position].work = demand.work * middle;
            if feasible(&chosen, &slots) { low = middle } else { high = middle }
        }
        chosen[position].work = demand.work * low;
        count += high;
    }
    count
}

#[test]
fn the_bound_counts_what_fits_into_the_idle_time() {
    let demand = |from, until, work| Demand { from, until, work };
    let idle = vec![1.0; 40];
    assert!((bound(&[demand(0, 19, 20.0)], &idle) - 1.0).abs() < 0.01);
    assert!((bound(&[demand(0, 19, 40.0)], &idle) - 0.5).abs() < 0.01);
    // The two small jobs fill the time of the large one.
    let three = [demand(0, 19, 10.0), demand(0, 19, 10.0), demand(0, 19, 20.0)];
    assert!((bound(&three, &idle) - 2.0).abs() < 0.01);
}
