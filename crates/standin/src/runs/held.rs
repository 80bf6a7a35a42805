use super::Behavior;
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::plan::message::Run;

/// A run that goes on.
pub(super) struct Held {
    pub(super) epoch: u64,
    behavior: Behavior,
    run: u32,
    /// Whether it fails at its end.
    fails: bool,
    pace: u8,
    /// Work done when the pace was last set, milliseconds.
    done_ms: f64,
    paced: Time,
}

impl Held {
    pub(super) fn new(
        behavior: Behavior,
        (index, run): (u32, u32),
        epoch: u64,
        checkpoint: Option<&Name>,
        now: Time,
    ) -> Self {
        let saved = checkpoint.and_then(|text| text.parse().ok());
        let done_ms = saved.unwrap_or(0_u32).into();
        let fails = behavior.fails(index, run);
        Self { epoch, behavior, run, fails, pace: 100, done_ms, paced: now }
    }

    pub(super) fn number(&self) -> u32 {
        self.run
    }

    /// Work done up to `now`, milliseconds.
    fn done_ms(&self, now: Time) -> f64 {
        let passed_ms = now.since(self.paced).as_secs_f64() * 1_000.0;
        self.done_ms + passed_ms * f64::from(self.pace) / 100.0
    }

    pub(super) fn set_pace(&mut self, percent: u8, now: Time) {
        self.done_ms = self.done_ms(now);
        self.paced = now;
        self.pace = percent.min(100);
    }

    /// Whether its work is done, and whether well.
    pub(super) fn outcome(&self, now: Time) -> Option<bool> {
        let done = !self.behavior.lasts && self.done_ms(now) >= self.behavior.run_ms as f64;
        done.then_some(!self.fails)
    }

    /// The newest checkpoint: the work that it saves, in whole milliseconds.
    pub(super) fn checkpoint(&self, now: Time) -> Option<Name> {
        let each = self.behavior.checkpoint_ms;
        let saved = (self.done_ms(now) as u64).checked_div(each)? * each;
        (saved > 0).then(|| Name::from(saved.to_string()))
    }

    pub(super) fn report(&self, task: Task, now: Time) -> Run {
        let whole = self.behavior.run_ms.max(1) as f64;
        let percent = match self.behavior.lasts {
            true => 100,
            false => (self.done_ms(now) / whole * 100.0).min(99.0) as u8,
        };
        let checkpoint = self.checkpoint(now);
        Run { task, run: self.run, checkpoint, percent, measurement: 0, pace: self.pace }
    }
}
