//! What is asked for on the command line.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Runs the programs as processes under faults, and checks what they promise; exits with 1 when a
/// promise was broken
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options))]
pub struct Options {
    /// Seed of the jobs and faults
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// How long faults come, minutes; the time to settle comes on top
    #[bpaf(argument("MINUTES"), fallback(1.0))]
    pub minutes: f64,
    /// How many processes run beside the soak: a store, three entries, and two for each worker
    #[bpaf(argument("COUNT"), fallback(16))]
    pub processes: usize,
    /// Where the programs are; beside this one, if not given
    #[bpaf(argument("DIRECTORY"))]
    pub programs: Option<PathBuf>,
    /// Where settings and logs are kept; removed after a soak without a broken promise, if not given
    #[bpaf(argument("DIRECTORY"))]
    pub keep: Option<PathBuf>,
}
