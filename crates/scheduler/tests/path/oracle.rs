//! The guarantees that must hold, checked from the calls to workers and what workers do.

use super::worker::STOP_MS;
use shallotflow_core::graph::{Id, Task};
use shallotflow_core::resources::Bundle;
use shallotflow_policy::plan::message::{End, ExitReason};
use std::collections::{BTreeMap, BTreeSet};

/// A task that crashes workers may start twice more after so many of them.
const CRASHES: u32 = 3;
/// Number of starts after [`CRASHES`] that breaks the rule.
const STARTS_AFTER_CRASHES: u32 = 3;
/// Time in which a confirmed request to evacuate a failure domain has to apply, in milliseconds.
const EVACUATION_MS: u64 = 5_000;
/// Number of crashes under a task after which its job may be shown as failed.
const CRASHES_TO_GIVE_UP: u32 = 2;

/// Longest time for which a task that could run may not be running once all is calm, in milliseconds,
/// beyond the wait of a successor: the sum of the stated bounds that can follow each other.
const MAX_WAIT_MS: u64 = SEEN_MS + STALL_MS + STOP_MS + TRIAL_MS + RETRY_MS + EJECTION_MS;
/// A successor waits for the last lease, which a former owner may have let agents renew for so long after
/// the claim.
const SUCCESSION_MS: u64 = 800;
/// The end of a lease is certain once the lease, the drift of the worker's clock and this have passed.
const LEASE_MARGIN_MS: u64 = 280;
/// The drift of a worker's clock, in percent.
const DRIFT_PERCENT: u64 = 2;
/// For so long a task may not be running in the rule for callers.
const SEEN_MS: u64 = 3_000;
/// A run that lists show no more is stopped.
const STALL_MS: u64 = 2_500;
/// A task that may have crashed its worker waits for one where it is alone.
const TRIAL_MS: u64 = 2_000;
/// Longest pause before a retry.
const RETRY_MS: u64 = 2_000;
/// First ejection of a worker where tasks fail.
const EJECTION_MS: u64 = 4_000;
/// A task of a job under which a worker crashed, and the others of the job, wait for a trial.
const HELD_MS: u64 = 6_200;
/// The owner orders starts at a machine that is gone until its agent counts as silent, and waits for the
/// answer to the last one.
const SILENT_MS: u64 = 1_300 + 700;

/// What the oracle has observed of one task.
#[derive(Default)]
struct Observed {
    running: BTreeSet<usize>,
    /// Since when it could have been running.
    waits_since: Option<u64>,
    /// Whether a run has ended as done and the worker was told to forget that end.
    confirmed: bool,
    /// Whether that end counts as taken note of.
    noted: bool,
    /// Runs that have ended as done.
    done: BTreeSet<u32>,
    /// Those of them after whose end another run has started.
    repeated: BTreeSet<u32>,
    /// Number of workers that crashed under it.
    crashes: u32,
    /// Number of starts after three workers crashed under it.
    starts_after_crashes: u32,
    /// Number of failed runs.
    failed_runs: u32,
    /// Number of failed runs whose ends the worker was told to forget.
    failures: u32,
}

/// Observations of all tasks, and the guarantees over them.
#[derive(Default)]
pub(crate) struct Oracle {
    /// The longest lease of a worker.
    lease_ms: u64,
    tasks: BTreeMap<Task, Observed>,
    /// Number of tasks in the first step of each job, which the second step waits for.
    first: BTreeMap<Id, u32>,
    /// Jobs whose tasks run until the job is cancelled.
    long_running: BTreeSet<Id>,
    /// Tasks that crash the workers that start them.
    deadly: BTreeSet<Task>,
    /// From when on nothing may be sent to start at each evacuated worker.
    evacuated: BTreeMap<usize, u64>,
    /// Since when nothing of a job runs although callers see that a task could.
    idle_since: BTreeMap<Id, u64>,
    /// Until when a stated wait for something else than room may hold all tasks of a job.
    held_until: BTreeMap<Id, u64>,
    /// Until when such a wait may hold all jobs.
    all_held_until: u64,
    pub(crate) broken: Option<String>,
}

impl Oracle {
    /// Creates an oracle for workers whose leases last for at most `lease_ms`.
    pub(crate) fn new(lease_ms: u64) -> Self {
        Self { lease_ms, ..Self::default() }
    }

    /// The runs of a lost machine count for so long until their leases have ended; from the last report of
    /// its agent, or the last answer of its worker.
    fn gone_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * DRIFT_PERCENT / 100 + LEASE_MARGIN_MS
    }

    pub(crate) fn accept(&mut self, job: Id, first: u32, long_running: bool) {
        self.first.insert(job, first);
        if long_running {
            self.long_running.insert(job);
        }
    }

    /// Returns for how long a task of a job that has not ended could have been running since
    /// `calm_since`, in milliseconds, if that is longer than all that it may wait for; `room` is whether
    /// it would find room now.
    pub(crate) fn wait(
        &mut self,
        task: Task,
        room: bool,
        now: u64,
        calm_since: u64,
    ) -> Option<u64> {
        let before = |index| Task { step: 0, index, ..task };
        let is_confirmed = |task| self.tasks.get(&task).is_some_and(|before| before.confirmed);
        let is_open = task.step == 0 || (0..self.first[&task.job]).map(before).all(is_confirmed);
        let observed = self.tasks.entry(task).or_default();
        if !observed.running.is_empty() || !observed.done.is_empty() || !is_open || !room {
            observed.waits_since = None;
            return None;
        }
        let since = *observed.waits_since.get_or_insert(now);
        let waited = now.saturating_sub(since.max(calm_since));
        (waited > self.gone_ms() + SUCCESSION_MS + MAX_WAIT_MS).then_some(waited)
    }

    /// Whether the turn of `task` has come and it is not done, as its caller sees it.
    pub(crate) fn is_due(&self, task: Task) -> bool {
        let before = |index| Task { step: 0, index, ..task };
        let mut first = (0..self.first[&task.job]).map(before);
        !self.is_done(&task) && (task.step == 0 || first.all(|before| self.is_done(&before)))
    }

    /// Returns for how long nothing of a job ran since `calm_since`, in milliseconds, if that is longer
    /// than callers were promised; `startable` is whether nothing runs now although a task could.
    ///
    /// Where a stated wait for something else than room comes before, the promise counts from its end:
    /// callers see nothing of it, but until then no rule on room or order can let a task start.
    pub(crate) fn idle(
        &mut self,
        job: Id,
        startable: bool,
        now: u64,
        calm_since: u64,
    ) -> Option<u64> {
        if !startable {
            self.idle_since.remove(&job);
            return None;
        }
        let since = *self.idle_since.entry(job).or_insert(now);
        let held_until = self.held_until.get(&job).copied().unwrap_or(0);
        let idle =
            now.saturating_sub(since.max(calm_since).max(held_until).max(self.all_held_until));
        (idle > SEEN_MS).then_some(idle)
    }

    /// Records that a wait may hold all tasks of the job until `until`.
    fn hold(&mut self, job: Id, until: u64) {
        let held_until = self.held_until.entry(job).or_default();
        *held_until = until.max(*held_until);
    }

    /// Records that a successor of the owner has claimed the table: until the agents have listed what they
    /// run, no task starts.
    pub(crate) fn mark_claim(&mut self, now: u64) {
        self.all_held_until = self.all_held_until.max(now + self.gone_ms() + SUCCESSION_MS);
    }

    /// Records that the owner does not know yet which failure domains it may use again.
    pub(crate) fn mark_unknown_requests(&mut self, now: u64) {
        self.all_held_until = self.all_held_until.max(now);
    }

    /// Records that a machine is lost for good and its agent reports until `gone_at`.
    pub(crate) fn mark_machine_lost(&mut self, gone_at: u64) {
        self.all_held_until = self.all_held_until.max(gone_at + SILENT_MS);
    }

    /// Records that the owner takes all tasks of the job whose turn has come for started at machines that
    /// are lost, the last one at `lost_at`.
    pub(crate) fn mark_tied(&mut self, job: Id, lost_at: u64) {
        self.hold(job, lost_at + self.gone_ms());
    }

    pub(crate) fn start(&mut self, worker: usize, task: Task, attempts: u32) {
        let Some(first) = self.first.get(&task.job).copied() else {
            return self.fail(format!("{task} was never submitted"));
        };
        if task.step == 1 {
            let before = (0..first).map(|index| Task { step: 0, index, ..task });
            let open = before.filter(|before| !self.is_done(before));
            if let Some(before) = open.into_iter().next() {
                return self.fail(format!("{task} started before {before} was done"));
            }
        }
        let observed = self.tasks.entry(task).or_default();
        let twice = observed.running.iter().any(|other| *other != worker);
        let (noted, failures) = (observed.noted, observed.failures);
        if observed.crashes >= CRASHES {
            observed.starts_after_crashes += 1;
        }
        let starts = observed.starts_after_crashes;
        observed.running.insert(worker);
        observed.repeated.extend(&observed.done);
        if twice {
            self.fail(format!("{task} runs twice"));
        } else if noted {
            self.fail(format!("{task} started after its end was confirmed"));
        } else if failures >= attempts {
            self.fail(format!("{task} started after {failures} failures"));
        } else if starts >= STARTS_AFTER_CRASHES && self.deadly.contains(&task) {
            self.fail(format!("{task} started {starts} times after {CRASHES} crashes"));
        }
    }

    /// Records a request to evacuate the worker, which the store confirmed at `now`.
    pub(crate) fn evacuate(&mut self, worker: usize, now: u64) {
        self.evacuated.entry(worker).or_insert(now + EVACUATION_MS);
    }

    /// Records that the request was withdrawn.
    pub(crate) fn readmit(&mut self, worker: usize) {
        self.evacuated.remove(&worker);
    }

    /// Extends the time in which requests have to apply by `span`, in which the store has answered
    /// nobody, so that nobody can have learned of them.
    pub(crate) fn extend_evacuations(&mut self, now: u64, span: u64) {
        for deadline in self.evacuated.values_mut().filter(|deadline| **deadline > now) {
            *deadline += span;
        }
    }

    /// Checks a start that an agent in touch with an owner sends to the worker.
    pub(crate) fn check_evacuated(&mut self, worker: usize, task: Task, now: u64) {
        if let Some(deadline) = self.evacuated.get(&worker).copied().filter(|at| *at < now) {
            let late = now - deadline;
            self.fail(format!("{task} is sent to evacuated worker {worker}, {late} ms too late"));
        }
    }

    pub(crate) fn mark_deadly(&mut self, task: Task) {
        self.deadly.insert(task);
    }

    pub(crate) fn is_deadly(&self, task: Task) -> bool {
        self.deadly.contains(&task)
    }

    /// Records that a worker has crashed under the run of `task`.
    pub(crate) fn mark_crashed(&mut self, worker: usize, task: Task, now: u64) {
        self.mark_ended(worker, task);
        self.tasks.entry(task).or_default().crashes += 1;
        self.hold(task.job, now + HELD_MS);
    }

    /// Records that an end is lost that the store may not hold: the owner may take the run for one under
    /// which the worker crashed.
    pub(crate) fn mark_end_lost(&mut self, task: Task, now: u64) {
        self.hold(task.job, now + HELD_MS);
    }

    pub(crate) fn mark_failed(&mut self, task: Task, now: u64) {
        if self.long_running.contains(&task.job) {
            return;
        }
        self.tasks.entry(task).or_default().failed_runs += 1;
        self.hold(task.job, now + RETRY_MS);
    }

    /// Checks that a job that is shown as failed has a task that failed in all its attempts, or under
    /// which two workers have crashed.
    pub(crate) fn check_failed(&mut self, job: Id, tasks: &[Task], attempts: u32) {
        let cause = |task: &Task| {
            let observed = self.tasks.get(task);
            observed.is_some_and(|observed| {
                observed.failed_runs >= attempts || observed.crashes >= CRASHES_TO_GIVE_UP
            })
        };
        if !tasks.iter().any(cause) {
            self.fail(format!("{job} is shown as failed without a cause"));
        }
    }

    /// Checks that a start does not bring its worker over its capacity.
    pub(crate) fn check_capacity(
        &mut self,
        worker: usize,
        task: Task,
        used: Bundle,
        capacity: Bundle,
    ) {
        if !capacity.holds(&used) {
            self.fail(format!("{task} brings worker {worker} of {capacity} to {used}"));
        }
    }

    /// Records the end of a run, for any reason.
    pub(crate) fn mark_ended(&mut self, worker: usize, task: Task) {
        self.tasks.entry(task).or_default().running.remove(&worker);
    }

    /// Records that a run has ended of which neither lists nor ends tell.
    pub(crate) fn mark_vanished(&mut self, worker: usize, task: Task, now: u64) {
        self.mark_ended(worker, task);
        self.hold(task.job, now + STALL_MS);
    }

    pub(crate) fn mark_done(&mut self, task: Task, run: u32) {
        if self.long_running.contains(&task.job) {
            return;
        }
        self.tasks.entry(task).or_default().done.insert(run);
    }

    /// Records that the worker was told to forget an end; `leased` is whether its lease has lasted
    /// since that end.
    ///
    /// An end counts as taken note of unless the worker's lease ended before that; so it does even then if a
    /// list showed it in a form that can be read.
    pub(crate) fn mark_forgotten(&mut self, end: &End, leased: bool, shown: bool) {
        let End { task, run, reason, .. } = *end;
        if self.long_running.contains(&task.job) {
            return;
        }
        let observed = self.tasks.entry(task).or_default();
        observed.confirmed |= reason == ExitReason::Done;
        observed.noted |= reason == ExitReason::Done && (leased || shown);
        observed.failures += u32::from(reason == ExitReason::Failed);
        if leased && observed.repeated.contains(&run) {
            self.fail(format!("{task} started after run {run} was done, whose end was confirmed"));
        }
    }

    /// Checks that every task of a job that is shown as completed is done.
    pub(crate) fn check_completed(&mut self, job: Id, tasks: &[Task]) {
        let open = tasks.iter().find(|task| !self.is_done(task));
        if let Some(open) = open {
            self.fail(format!("{job} is shown as completed though {open} is not done"));
        }
    }

    fn is_done(&self, task: &Task) -> bool {
        self.tasks.get(task).is_some_and(|observed| !observed.done.is_empty())
    }

    pub(crate) fn is_running(&self, task: Task) -> bool {
        self.tasks.get(&task).is_some_and(|observed| !observed.running.is_empty())
    }

    pub(crate) fn fail(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }
}
