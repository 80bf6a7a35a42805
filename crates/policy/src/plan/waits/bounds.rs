/// The most that one report may cost. A report that reaches a bound ends after the job at hand, and the
/// next one continues from there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Number of jobs.
    pub jobs: usize,
    /// Number of tasks of open steps that are not all done.
    pub tasks: usize,
    /// Number of times that a worker is compared with a demand; it also holds within a job.
    pub comparisons: usize,
    /// Number of groups; it also holds within a job.
    pub groups: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { jobs: 1_024, tasks: 65_536, comparisons: 8_192, groups: 1_024 }
    }
}
