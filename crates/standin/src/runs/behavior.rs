use serde::{Deserialize, Serialize};

/// How the tasks of a step behave here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Behavior {
    /// Run time of a task, milliseconds.
    pub run_ms: u64,
    /// Runs up to this number fail at their end.
    pub fails: u32,
    /// Whether tasks run until they are stopped.
    pub lasts: bool,
    /// Time of work after which a task has a new checkpoint, milliseconds; 0 for none.
    pub checkpoint_ms: u64,
}

impl Default for Behavior {
    fn default() -> Self {
        Self { run_ms: 50, fails: 0, lasts: false, checkpoint_ms: 0 }
    }
}

/// The text of a job.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Text {
    steps: Vec<Behavior>,
}

impl Behavior {
    /// The behavior of the tasks of `step`, by the text of their job.
    pub(super) fn of(text: &str, step: u16) -> Self {
        let text: Text = serde_json::from_str(text).unwrap_or_default();
        text.steps.get(usize::from(step)).copied().unwrap_or_default()
    }
}
