use serde::{Deserialize, Serialize};

/// The state of a job as reported to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// Every task has completed.
    Completed,
    /// A task has used up the attempts that its queue allows.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl State {
    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// The name used in logs and in responses to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}
