use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::PathBuf;

/// What a soak found.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    /// The seed.
    pub seed: u64,
    /// Processes beside the soak.
    pub processes: usize,
    /// Jobs that were accepted.
    pub jobs: usize,
    /// How they ended.
    pub ended: BTreeMap<&'static str, usize>,
    /// Runs of tasks.
    pub runs: usize,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Whether it was interrupted.
    pub interrupted: bool,
    /// Promises that were broken.
    pub violations: BTreeSet<String>,
    /// Where settings and logs are, if they are kept.
    pub kept: Option<PathBuf>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&serde_json::to_string_pretty(self).map_err(|_| fmt::Error)?)
    }
}
