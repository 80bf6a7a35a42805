//! Uses workers last that are still slow after their return.

use super::Worker;

/// Lowest score of a cold worker, above that of every other worker: the penalties of a search stay
/// far below it.
pub(super) const COLD_BASE: f64 = 1_000.0;
/// Added to the score of a cold worker for each second for which it remains slow: as much as a fully
/// used worker has over an idle one.
const COST_PER_SECOND: f64 = 1.0;

impl Worker {
    /// Returns what is added to the score of the worker while it is cold, by the time that its latest
    /// report named; 0 if it is not.
    pub(super) fn cold_cost(&self) -> f64 {
        let remaining_ms = self.profile.as_ref().map_or(0, |profile| profile.cold_remaining_ms);
        if remaining_ms == 0 {
            return 0.0;
        }
        let remaining_ms = u32::try_from(remaining_ms).unwrap_or(u32::MAX);
        COLD_BASE + COST_PER_SECOND * f64::from(remaining_ms) / 1_000.0
    }
}
