use super::{Error, Result, Step};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a caller hands in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Spec {
    /// The text that workers get with each task.
    pub text: Arc<str>,
    /// The steps, each after those that it waits for.
    pub steps: Vec<Step>,
    /// How often the steps run; 0 and 1 both mean once.
    pub repetitions: u32,
    /// When the first repetition is due, milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time from one repetition to the next, milliseconds.
    pub interval_ms: u64,
}

impl Spec {
    /// Longest text, bytes; from the interface that callers were promised.
    pub const TEXT_LIMIT: usize = 4_000;
    /// Most tasks of one job; bounds the memory that one request can claim.
    pub const TASK_LIMIT: u64 = 20_000;

    /// How often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repetitions.max(1)
    }

    /// When repetition `occurrence` is due, milliseconds since 1970; 0 for a job that runs once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.repetitions == 0 {
            return 0;
        }
        self.first_due_ms.saturating_add(self.interval_ms.saturating_mul(u64::from(occurrence)))
    }

    /// Whether any step's tasks last.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Checks what can be checked without knowing the workers.
    ///
    /// # Errors
    ///
    /// Names the first part that is wrong.
    pub fn check(&self) -> Result<()> {
        let bytes = self.text.len();
        if bytes > Self::TEXT_LIMIT {
            return Err(Error::TextTooLong { bytes, limit: Self::TEXT_LIMIT });
        }
        if self.steps.is_empty() {
            return Err(Error::NoSteps);
        }
        let mut tasks = 0_u64;
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Error::NoTasks(number));
            }
            if let Some(after) = step.after.iter().find(|after| usize::from(**after) >= number) {
                return Err(Error::Order { step: number, after: *after });
            }
            tasks += u64::from(step.count);
        }
        let tasks = tasks.saturating_mul(u64::from(self.occurrences()));
        if tasks > Self::TASK_LIMIT {
            return Err(Error::TooManyTasks { tasks, limit: Self::TASK_LIMIT });
        }
        Ok(())
    }
}
