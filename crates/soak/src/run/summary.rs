use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::PathBuf;

/// The result of a soak.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    /// Seed of the jobs and faults.
    pub seed: u64,
    /// Number of processes besides the soak itself.
    pub processes: usize,
    /// Number of accepted jobs.
    pub jobs: usize,
    /// Number of accepted jobs by their last known state.
    pub ended: BTreeMap<&'static str, usize>,
    /// Number of runs of tasks.
    pub runs: usize,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Number of evacuations that the store confirmed.
    pub evacuations: usize,
    /// Whether a signal interrupted the soak.
    pub interrupted: bool,
    /// Violated guarantees.
    pub violations: BTreeSet<String>,
    /// Directory of the settings and logs, if they are kept.
    pub kept: Option<PathBuf>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&serde_json::to_string_pretty(self).map_err(|_| fmt::Error)?)
    }
}
