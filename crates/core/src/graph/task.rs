use super::Id;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One task of a job, identified by its position in the graph.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// The job.
    pub job: Id,
    /// The repetition of the job, counted from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step, counted from 0.
    pub step: u16,
    /// Index of the task within its step, counted from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.job, self.occurrence, self.step, self.index)
    }
}
