use serde::{Deserialize, Serialize};

/// How the tasks of a step behave on the stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Behavior {
    /// Run time of a task, in milliseconds.
    pub run_ms: u64,
    /// Percentage of the runs that fail at their end; derived from the task index and run number.
    pub fails_percent: u32,
    /// Whether the tasks run until they are stopped.
    #[serde(rename = "lasts")]
    pub long_running: bool,
    /// Amount of work between two checkpoints of a task, in milliseconds; 0 for no checkpoints.
    pub checkpoint_ms: u64,
}

impl Default for Behavior {
    fn default() -> Self {
        Self { run_ms: 50, fails_percent: 0, long_running: false, checkpoint_ms: 0 }
    }
}

/// The text of a job, as far as the stand-in interprets it.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Payload {
    steps: Vec<Behavior>,
}

/// Multiplier that spreads consecutive numbers: 2^32 divided by the golden ratio.
const HASH_MULTIPLIER: u32 = 2_654_435_769;

impl Behavior {
    /// Whether run number `run` of the task at `index` fails at its end.
    pub fn fails(&self, index: u32, run: u32) -> bool {
        let hash = run.wrapping_add(index.rotate_left(16)).wrapping_mul(HASH_MULTIPLIER) >> 16;
        hash % 100 < self.fails_percent
    }

    /// Reads the behavior of the tasks of `step` from the text of their job.
    pub(super) fn from_text(text: &str, step: u16) -> Self {
        let payload: Payload = serde_json::from_str(text).unwrap_or_default();
        payload.steps.get(usize::from(step)).copied().unwrap_or_default()
    }
}
