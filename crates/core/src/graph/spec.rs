use super::{Error, Result, Step};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A job as submitted by its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Spec {
    /// The text passed to workers with each task.
    pub text: Arc<str>,
    /// The steps in topological order: each comes after the steps that it depends on.
    pub steps: Vec<Step>,
    /// Number of times that the steps run; 0 and 1 both mean once.
    pub repetitions: u32,
    /// Due time of the first repetition, milliseconds since the Unix epoch.
    pub first_due_ms: u64,
    /// Interval between repetitions, milliseconds.
    pub interval_ms: u64,
}

impl Spec {
    /// Maximum length of the text in bytes; part of the published interface to callers.
    pub const TEXT_LIMIT: usize = 4_000;
    /// Maximum length of an image, a label or a rack in bytes; no worker has a longer one.
    pub const NAME_LIMIT: usize = 255;
    /// Maximum number of tasks in a job; bounds the memory that one request can allocate.
    pub const TASK_LIMIT: u64 = 20_000;

    /// Number of times that the steps run, at least 1.
    pub fn occurrences(&self) -> u32 {
        self.repetitions.max(1)
    }

    /// Due time of repetition `occurrence`, milliseconds since the Unix epoch; 0 if `repetitions`
    /// is 0.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.repetitions == 0 {
            return 0;
        }
        self.first_due_ms.saturating_add(self.interval_ms.saturating_mul(u64::from(occurrence)))
    }

    /// Whether any step has long-running tasks.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Validates the parts that do not depend on the available workers.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
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
            let names = [&step.required_label, &step.data_rack, &step.image];
            let longest = names.into_iter().flatten().map(|name| name.len()).max().unwrap_or(0);
            if longest > Self::NAME_LIMIT {
                let limit = Self::NAME_LIMIT;
                return Err(Error::NameTooLong { step: number, bytes: longest, limit });
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
