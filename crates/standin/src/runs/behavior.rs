use serde::{Deserialize, Serialize};

/// How the tasks of a step behave here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Behavior {
    /// Run time of a task, milliseconds.
    pub run_ms: u64,
    /// How many of a hundred runs fail at their end; which ones follows from their numbers.
    pub fails_percent: u32,
    /// Whether tasks run until they are stopped.
    pub lasts: bool,
    /// Time of work after which a task has a new checkpoint, milliseconds; 0 for none.
    pub checkpoint_ms: u64,
}

impl Default for Behavior {
    fn default() -> Self {
        Self { run_ms: 50, fails_percent: 0, lasts: false, checkpoint_ms: 0 }
    }
}

/// The text of a job.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Text {
    steps: Vec<Behavior>,
}

/// A multiplier that spreads neighboring numbers; the golden ratio of 2^32.
const SPREAD: u32 = 2_654_435_769;

impl Behavior {
    /// Whether this run of a task fails at its end.
    pub fn fails(&self, index: u32, run: u32) -> bool {
        let drawn = run.wrapping_add(index.rotate_left(16)).wrapping_mul(SPREAD) >> 16;
        drawn % 100 < self.fails_percent
    }

    /// The behavior of the tasks of `step`, by the text of their job.
    pub(super) fn of(text: &str, step: u16) -> Self {
        let text: Text = serde_json::from_str(text).unwrap_or_default();
        text.steps.get(usize::from(step)).copied().unwrap_or_default()
    }
}
