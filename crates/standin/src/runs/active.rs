use super::Behavior;
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::plan::message::Run;

/// A run in progress.
pub(super) struct ActiveRun {
    pub(super) epoch: u64,
    behavior: Behavior,
    run: u32,
    /// Whether the run fails when its work is done.
    fails: bool,
    /// Speed in percent.
    pace: u8,
    /// Work done when the pace was last set, in milliseconds.
    done_ms: f64,
    pace_set_at: Time,
}

impl ActiveRun {
    pub(super) fn new(
        behavior: Behavior,
        (index, run): (u32, u32),
        epoch: u64,
        checkpoint: Option<&Name>,
        now: Time,
    ) -> Self {
        let saved_ms = checkpoint.and_then(|text| text.parse().ok());
        let done_ms = saved_ms.unwrap_or(0_u32).into();
        let fails = behavior.fails(index, run);
        Self { epoch, behavior, run, fails, pace: 100, done_ms, pace_set_at: now }
    }

    pub(super) fn number(&self) -> u32 {
        self.run
    }

    /// Work done up to `now`, in milliseconds.
    fn done_ms(&self, now: Time) -> f64 {
        let elapsed_ms = now.since(self.pace_set_at).as_secs_f64() * 1_000.0;
        self.done_ms + elapsed_ms * f64::from(self.pace) / 100.0
    }

    pub(super) fn set_pace(&mut self, percent: u8, now: Time) {
        self.done_ms = self.done_ms(now);
        self.pace_set_at = now;
        self.pace = percent.min(100);
    }

    /// Whether the run succeeded, once its work is done.
    pub(super) fn outcome(&self, now: Time) -> Option<bool> {
        let done = !self.behavior.long_running && self.done_ms(now) >= self.behavior.run_ms as f64;
        done.then_some(!self.fails)
    }

    /// The latest checkpoint: its name is the amount of saved work, in whole milliseconds.
    pub(super) fn checkpoint(&self, now: Time) -> Option<Name> {
        let interval_ms = self.behavior.checkpoint_ms;
        let saved_ms = (self.done_ms(now) as u64).checked_div(interval_ms)? * interval_ms;
        (saved_ms > 0).then(|| Name::from(saved_ms.to_string()))
    }

    pub(super) fn report(&self, task: Task, now: Time) -> Run {
        let run_ms = self.behavior.run_ms.max(1) as f64;
        let percent = match self.behavior.long_running {
            true => 100,
            false => (self.done_ms(now) / run_ms * 100.0).min(99.0) as u8,
        };
        let checkpoint = self.checkpoint(now);
        Run { task, run: self.run, checkpoint, percent, measurement: 0, pace: self.pace }
    }
}
