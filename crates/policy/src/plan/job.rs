use super::holds::Holds;
use super::urgency::Urgency;
use super::waits::Reason;
use super::{Phase, TaskState};
use shallotflow_core::graph::{self, Id, Queue, Spec, State, Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeSet;

/// A job in the owner's table, with the state of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier of the job.
    pub id: Id,
    /// Queue of the job, with its current configuration.
    pub queue: Queue,
    /// Specification that the caller submitted.
    pub spec: Spec,
    /// Time of acceptance, milliseconds since 1970.
    pub accepted_ms: u64,
    /// When this owner received the job.
    pub received: Time,
    /// State of each task, ordered by repetition, step and index.
    pub tasks: Vec<TaskState>,
    /// Number of tasks that are not done, by repetition and step.
    pub remaining: Vec<u32>,
    /// Final state, once it is decided.
    pub ended: Option<State>,
    /// End time in milliseconds since 1970; 0 while the job has not ended.
    pub ended_ms: u64,
    /// When the job may be removed from the table and the store.
    pub forget_at: Time,
    /// Number of changes that have to be recorded.
    pub version: u64,
    /// Latest version that the store holds.
    pub recorded: u64,
    /// Whether any task has been observed to run.
    pub started: bool,
    /// First version in which `started` is set; 0 if it was restored from the store.
    pub(super) started_version: u64,
    /// First version with the final state; 0 if it was restored from the store.
    pub(super) ended_version: u64,
    /// Whether no predecessor can have known the job.
    pub(super) fresh: bool,
    /// Number of tasks that are suspected of crashing workers.
    pub(super) suspects: u32,
    /// Until when its other tasks wait for the result of a suspect.
    pub(super) hold_until: Time,
    /// Number of waiting tasks, by repetition and step.
    pub(super) waiting: Vec<u32>,
    /// Number of tasks that run.
    pub(super) running: u32,
    /// Since when no task runs although the turn of one has come; brought up to date at the starvation
    /// interval.
    pub(super) idle_since: Option<Time>,
    /// Position of the job in the table's order, while tasks of open steps wait.
    pub(super) queued: Option<Urgency>,
    /// Agents with ends that are confirmed once a later version of the job is recorded.
    pub(super) ending: BTreeSet<Name>,
    /// Expected duration of a task by step, milliseconds.
    pub(super) durations_ms: Vec<u64>,
    /// When the job's timer checks its place in the order next.
    pub(super) urgency_due: Time,
    /// Whether the job may start tasks although it would wait otherwise.
    pub(super) opened: bool,
    /// Whether the job was found to have to wait until it is opened.
    pub(super) postponed: bool,
    /// For how long each rule has held the waiting tasks, by repetition and step.
    pub(super) holds: Vec<Holds>,
    /// Offset of each step's tasks within a repetition, then the number of tasks in a repetition.
    offsets: Vec<u32>,
}

impl Job {
    /// Creates a job whose tasks are all waiting.
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
        let remaining: Vec<u32> = (0..occurrences).flat_map(|_| counts.clone()).collect();
        let waiting = remaining.clone();
        let holds = vec![Holds::default(); remaining.len()];
        let durations_ms = job.spec.steps.iter().map(|step| step.estimate_ms).collect();
        let states = vec![TaskState::default(); tasks as usize * occurrences as usize];
        Self {
            id,
            queue: job.queue,
            spec: job.spec,
            accepted_ms: job.accepted_ms,
            received: now,
            tasks: states,
            remaining,
            ended: None,
            ended_ms: 0,
            forget_at: Time::NEVER,
            version: 0,
            recorded: 0,
            started: false,
            started_version: 0,
            ended_version: 0,
            fresh: false,
            suspects: 0,
            hold_until: Time::ZERO,
            waiting,
            running: 0,
            idle_since: None,
            queued: None,
            ending: BTreeSet::new(),
            durations_ms,
            urgency_due: Time::NEVER,
            opened: false,
            postponed: false,
            holds,
            offsets,
        }
    }

    /// Returns the position of `task` in `tasks`, or `None` if the job has no such task.
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

    /// Returns the task at `position` in `tasks`.
    pub fn task(&self, position: usize) -> Task {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let within = position % self.tasks_per_repetition();
        let step = self.offsets.partition_point(|first| *first <= within) - 1;
        Task {
            job: self.id,
            occurrence: position / self.tasks_per_repetition(),
            step: u16::try_from(step).unwrap_or(u16::MAX),
            index: within - self.offsets[step],
        }
    }

    /// Returns the step of `task`.
    pub fn step(&self, task: &Task) -> &Step {
        &self.spec.steps[usize::from(task.step)]
    }

    /// Returns the positions of the tasks of `step` in the repetition `occurrence`.
    pub fn range(&self, occurrence: u32, step: usize) -> std::ops::Range<usize> {
        let base = occurrence * self.tasks_per_repetition();
        (base + self.offsets[step]) as usize..(base + self.offsets[step + 1]) as usize
    }

    /// Returns whether every step that `step` depends on is done.
    pub fn is_open(&self, occurrence: u32, step: usize) -> bool {
        let base = occurrence as usize * self.spec.steps.len();
        self.spec.steps[step]
            .after
            .iter()
            .all(|after| self.remaining[base + usize::from(*after)] == 0)
    }

    /// Changes the phase of the task at `position`, and the counts that depend on it.
    pub(super) fn set_phase(&mut self, position: usize, phase: Phase) {
        let task = self.task(position);
        let slot = self.slot(task.occurrence, usize::from(task.step));
        let former = std::mem::replace(&mut self.tasks[position].phase, phase);
        let phase = &self.tasks[position].phase;
        let count = |phase: &Phase, counted: Phase| u32::from(*phase == counted);
        self.waiting[slot] -= count(&former, Phase::Waiting);
        self.waiting[slot] += count(phase, Phase::Waiting);
        self.remaining[slot] += count(&former, Phase::Done);
        self.remaining[slot] -= count(phase, Phase::Done);
        self.running -= u32::from(former.is_running());
        self.running += u32::from(phase.is_running());
        if phase.is_running() || *phase == Phase::Done {
            self.idle_since = None;
        }
    }

    /// Recomputes the numbers of remaining and of waiting tasks after the task states were restored.
    pub(super) fn recount(&mut self) {
        let steps = self.spec.steps.len();
        for slot in 0..self.remaining.len() {
            let occurrence = u32::try_from(slot / steps).unwrap_or(u32::MAX);
            let states = &self.tasks[self.range(occurrence, slot % steps)];
            let count = |counted: &dyn Fn(&Phase) -> bool| {
                let count = states.iter().filter(|state| counted(&state.phase)).count();
                u32::try_from(count).unwrap_or(u32::MAX)
            };
            self.remaining[slot] = count(&|phase| *phase != Phase::Done);
            self.waiting[slot] = count(&|phase| *phase == Phase::Waiting);
        }
        let running = self.tasks.iter().filter(|state| state.phase.is_running()).count();
        self.running = u32::try_from(running).unwrap_or(u32::MAX);
    }

    /// Returns the number of waiting tasks of `step` in the repetition `occurrence`.
    pub(super) fn waiting_tasks(&self, occurrence: u32, step: usize) -> u32 {
        self.waiting[self.slot(occurrence, step)]
    }

    /// Notes the rule that holds the waiting tasks of `step` in the repetition `occurrence`.
    pub(super) fn set_hold(
        &mut self,
        occurrence: u32,
        step: usize,
        hold: Option<Reason>,
        now: Time,
    ) {
        let slot = self.slot(occurrence, step);
        self.holds[slot].set(hold, now);
    }

    /// Returns whether any task of an open step is waiting; it may not be due yet.
    pub(super) fn has_open_tasks(&self) -> bool {
        self.open_steps().next().is_some()
    }

    /// Returns the open steps of which a task is waiting, by repetition; it may not be due yet.
    fn open_steps(&self) -> impl Iterator<Item = (u32, &Step)> {
        let steps = self.spec.steps.len();
        self.waiting.iter().enumerate().filter_map(move |(slot, waiting)| {
            let occurrence = u32::try_from(slot / steps).unwrap_or(u32::MAX);
            let open = *waiting > 0 && self.is_open(occurrence, slot % steps);
            open.then(|| (occurrence, &self.spec.steps[slot % steps]))
        })
    }

    /// Returns the open steps of which a task is waiting and whose repetition is due at `wall_ms`.
    pub(super) fn due_steps(&self, wall_ms: u64) -> impl Iterator<Item = &Step> {
        let due = move |occurrence: u32| self.spec.due_ms(occurrence) <= wall_ms;
        self.open_steps().filter(move |(occurrence, _)| due(*occurrence)).map(|(_, step)| step)
    }

    /// Returns whether the start of a task is ordered and not answered.
    pub(super) fn is_starting(&self) -> bool {
        self.tasks.iter().any(|state| matches!(state.phase, Phase::Starting { .. }))
    }

    /// Returns the position of a step in `remaining` and `waiting`.
    fn slot(&self, occurrence: u32, step: usize) -> usize {
        occurrence as usize * self.spec.steps.len() + step
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.remaining.iter().all(|remaining| *remaining == 0)
    }

    /// Returns the current state, whether or not it is recorded.
    pub fn state(&self) -> State {
        match self.ended {
            Some(state) => state,
            None if self.started => State::Running,
            None => State::Queued,
        }
    }

    /// Returns the state that callers may see: only recorded state, so that no later owner reports an
    /// earlier one.
    ///
    /// A cancellation is recorded before it is applied here.
    pub fn visible_state(&self) -> State {
        let running = self.started && self.recorded >= self.started_version;
        match self.state() {
            State::Cancelled => State::Cancelled,
            state if state.is_final() && self.recorded >= self.ended_version => state,
            _ if running => State::Running,
            _ => State::Queued,
        }
    }

    /// Returns the length of the critical path, milliseconds: the longest chain of dependent steps by
    /// their estimated run times.
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
