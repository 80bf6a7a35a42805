use std::time::Duration;

/// The tasks that do not run for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Number of tasks.
    pub tasks: u64,
    /// The longest of their waits.
    pub longest: Duration,
}
