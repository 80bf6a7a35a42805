use super::{Phase, TaskState};
use shallotflow_core::graph::{self, Id, Queue, Spec, State, Step, Task};
use shallotflow_core::time::Time;

/// A job in the owner's table.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its identifier.
    pub id: Id,
    /// Its queue.
    pub queue: Queue,
    /// What the caller handed in.
    pub spec: Spec,
    /// When it was accepted, milliseconds since 1970.
    pub accepted_ms: u64,
    /// When the owner heard of it.
    pub received: Time,
    /// The tasks: repetition by repetition, step by step.
    pub tasks: Vec<TaskState>,
    /// Tasks that are not done, by repetition and step.
    pub remaining: Vec<u32>,
    /// The final state, once it is decided.
    pub ended: Option<State>,
    /// When it ended, milliseconds since 1970; 0 before.
    pub ended_ms: u64,
    /// When it may be forgotten.
    pub forget_at: Time,
    /// Counts the changes that the store has to learn.
    pub version: u64,
    /// The version that the store holds.
    pub recorded: u64,
    /// Whether a task has ever been seen to run.
    pub started: bool,
    /// The version that first says so; 0 when the store said it.
    pub(super) started_version: u64,
    /// The version that first holds the final state; 0 when the store said it.
    pub(super) ended_version: u64,
    /// Whether no predecessor can have known the job.
    pub(super) fresh: bool,
    offsets: Vec<u32>,
}

impl Job {
    /// A job whose tasks all wait.
    pub fn new(id: Id, job: graph::Job, now: Time) -> Self {
        let mut offsets = Vec::with_capacity(job.spec.steps.len() + 1);
        let mut tasks = 0;
        for step in &job.spec.steps {
            offsets.push(tasks);
            tasks += step.count;
        }
        offsets.push(tasks);
        let occurrences = job.spec.occurrences();
        let counts = job.spec.steps.iter().map(|step| step.count);
        let left: Vec<u32> = (0..occurrences).flat_map(|_| counts.clone()).collect();
        let rows = vec![TaskState::default(); tasks as usize * occurrences as usize];
        Self {
            id,
            queue: job.queue,
            spec: job.spec,
            accepted_ms: job.accepted_ms,
            received: now,
            tasks: rows,
            remaining: left,
            ended: None,
            ended_ms: 0,
            forget_at: Time::NEVER,
            version: 0,
            recorded: 0,
            started: false,
            started_version: 0,
            ended_version: 0,
            fresh: false,
            offsets,
        }
    }

    /// The place of `task` among the rows.
    pub fn position(&self, task: &Task) -> Option<usize> {
        let step = usize::from(task.step);
        let first = *self.offsets.get(step)?;
        if task.index >= self.spec.steps.get(step)?.count
            || task.occurrence >= self.spec.occurrences()
        {
            return None;
        }
        Some((task.occurrence * self.tasks_per_repetition() + first + task.index) as usize)
    }

    /// The task at `number`.
    pub fn task(&self, number: usize) -> Task {
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        let within = number % self.tasks_per_repetition();
        let step = self.offsets.partition_point(|first| *first <= within) - 1;
        Task {
            job: self.id,
            occurrence: number / self.tasks_per_repetition(),
            step: u16::try_from(step).unwrap_or(u16::MAX),
            index: within - self.offsets[step],
        }
    }

    /// The step of `task`.
    pub fn step(&self, task: &Task) -> &Step {
        &self.spec.steps[usize::from(task.step)]
    }

    /// The rows of `step` in `occurrence`.
    pub fn range(&self, occurrence: u32, step: usize) -> std::ops::Range<usize> {
        let base = occurrence * self.tasks_per_repetition();
        (base + self.offsets[step]) as usize..(base + self.offsets[step + 1]) as usize
    }

    /// Whether every step that `step` waits for is done.
    pub fn is_open(&self, occurrence: u32, step: usize) -> bool {
        let base = occurrence as usize * self.spec.steps.len();
        self.spec.steps[step]
            .after
            .iter()
            .all(|after| self.remaining[base + usize::from(*after)] == 0)
    }

    /// Notes that one more task of the step of `task` is done.
    pub(super) fn count_done(&mut self, task: &Task) {
        let place = task.occurrence as usize * self.spec.steps.len() + usize::from(task.step);
        self.remaining[place] = self.remaining[place].saturating_sub(1);
    }

    /// Counts anew what is left, after the rows were restored.
    pub(super) fn recount_remaining(&mut self) {
        let steps = self.spec.steps.len();
        for place in 0..self.remaining.len() {
            let occurrence = u32::try_from(place / steps).unwrap_or(u32::MAX);
            let rows = &self.tasks[self.range(occurrence, place % steps)];
            let left = rows.iter().filter(|row| row.phase != Phase::Done).count();
            self.remaining[place] = u32::try_from(left).unwrap_or(u32::MAX);
        }
    }

    /// Whether a task may be placed at `now`, as far as its own state goes.
    pub(super) fn may_place(&self, now: Time) -> bool {
        self.tasks.iter().any(|row| row.phase == Phase::Waiting && row.retry_at.passed(now))
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.remaining.iter().all(|left| *left == 0)
    }

    /// The state as decided, recorded or not.
    pub fn state(&self) -> State {
        match self.ended {
            Some(state) => state,
            None if self.started => State::Running,
            None => State::Queued,
        }
    }

    /// The state as callers may be shown it: only what is recorded, so that no later owner shows
    /// less.
    ///
    /// A cancel is recorded before it is applied here.
    pub fn visible_state(&self) -> State {
        let running = self.started && self.recorded >= self.started_version;
        match self.state() {
            State::Cancelled => State::Cancelled,
            state if state.is_final() && self.recorded >= self.ended_version => state,
            _ if running => State::Running,
            _ => State::Queued,
        }
    }

    /// The longest chain of estimated run times, milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut longest: Vec<u64> = Vec::with_capacity(self.spec.steps.len());
        for step in &self.spec.steps {
            let before = step.after.iter().filter_map(|after| longest.get(usize::from(*after)));
            longest.push(before.max().copied().unwrap_or(0) + step.estimate_ms);
        }
        longest.into_iter().max().unwrap_or(0)
    }

    fn tasks_per_repetition(&self) -> u32 {
        self.offsets.last().copied().unwrap_or(1).max(1)
    }
}
