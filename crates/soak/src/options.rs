//! Command-line options.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Runs the programs as processes under faults and checks their guarantees; exits with 1 when a
/// guarantee was violated
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options))]
pub struct Options {
    /// Seed of the jobs and faults
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// How long faults are injected, in minutes; the time to settle comes on top
    #[bpaf(argument("MINUTES"), fallback(1.0))]
    pub minutes: f64,
    /// Number of processes besides the soak itself: a store, three entries, and two for each worker
    #[bpaf(argument("COUNT"), fallback(16))]
    pub processes: usize,
    /// Directory of the programs; by default the directory of this program
    #[bpaf(argument("DIRECTORY"))]
    pub programs: Option<PathBuf>,
    /// Directory for settings and logs; by default a temporary one that is removed after a soak
    /// without violations
    #[bpaf(argument("DIRECTORY"))]
    pub keep: Option<PathBuf>,
}
