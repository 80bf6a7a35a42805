//! Counts the crashes of workers under their runs, and gives up tasks that crash workers.
//!
//! A crash has one cause at most, but ends all runs of the worker. Suspected are only those that had
//! begun a short time before the worker was last known to be alive: a run that its worker has listed
//! for longer has shown that its start crashes no worker, and one that has made progress counts no
//! crash at all. A suspected task starts next at a worker where nothing else has started lately and
//! nothing else starts until the result is known, so that a second crash has one cause. The numbers
//! of the runs are recorded before a suspected task starts again, so that a later owner knows them.
//!
//! A run may also have ended just before its worker crashed for another reason, and nobody has read
//! the end. Two suspicions give a task up only if neither run can have ended so soon after its start.
//!
//! The loss of a rack or of all power makes many suspects at once. So few workers are kept for
//! trials, and who finds none soon starts like any other task.

use super::loss::Loss;
use super::message::{Crash, CrashedRun, ExitReason, Incarnation};
use super::search::{Isolation, Outcome, Pass, Search};
use super::trial::Trial;
use super::{Event, Job, Phase, Table, TaskState, Worker};
use shallotflow_core::graph::{Id, State, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Crashes as a suspect after which a task is given up if it was alone in the latest and they are certain;
/// otherwise after one more crash.
const MIN_SUSPICIONS: usize = 2;
/// Crashes after which a task is given up in any case: a task may start three times more after three
/// workers have crashed under it, and a new owner may not know of one of them.
const MAX_CRASHES: usize = 4;
/// Shortest time that a run takes, as a part of its expected duration: estimates are rough, and may be
/// ten times too long.
const LEAST_DURATION_PART: u32 = 10;
/// Longest trial, in crash windows: a worker that stops answering is not known at once to have crashed.
const TRIAL_WINDOWS: u32 = 3;
/// One of so many workers may be kept for trials.
const WORKERS_PER_TRIAL: usize = 4;

impl Table {
    /// Applies the crashes that `agent` has observed. Those that this owner has seen itself are
    /// counted already; of others only the agent knows, which outlives a predecessor that saw them.
    pub(super) fn apply_crashes(&mut self, agent: &Name, crashes: &[Crash], now: Time) {
        let Some(worker) = self.workers.get_mut(agent) else { return };
        let reported =
            |known: &Incarnation| crashes.iter().any(|crash| crash.incarnation == *known);
        worker.crashes.retain(|(known, _)| reported(known));
        for crash in crashes {
            let incarnation = &crash.incarnation;
            if self.workers.get(agent).is_some_and(|worker| worker.knows_crash(incarnation)) {
                continue;
            }
            let given_up = self.count_reported(agent, crash, now);
            self.give_up(given_up, now);
            let mut required = BTreeMap::new();
            let ended = crash.ends.iter().map(|end| end.task.job);
            for id in crash.runs.iter().map(|run| run.task.job).chain(ended) {
                let unrecorded = |job: &&mut Job| job.recorded < job.version;
                if let Some(job) = self.jobs.get_mut(&id).filter(unrecorded) {
                    required.insert(job.id, job.version);
                    job.ending.insert(agent.clone());
                }
            }
            if let Some(worker) = self.workers.get_mut(agent) {
                worker.crashes.push((incarnation.clone(), required));
            }
        }
    }

    /// Applies the ends that the agent had read at an incarnation which has crashed since, and that
    /// this owner has not applied. Nobody else knows of them any more.
    pub(super) fn apply_crashed_ends(&mut self, agent: &Name, crashes: &[Crash], now: Time) {
        for crash in crashes {
            let worker = self.workers.get(agent);
            if worker.is_some_and(|worker| worker.knows_crash(&crash.incarnation)) {
                continue;
            }
            for end in &crash.ends {
                let Some(state) = self.task_state(&end.task) else { continue };
                let news = match end.reason {
                    // A task that has started again since is done by its later run.
                    ExitReason::Done => state.last_run <= end.run,
                    ExitReason::Failed => !state.failed.contains(&end.run),
                    _ => state.is_current(agent, end.run),
                };
                if news && state.phase != Phase::Done {
                    self.settle_end(agent, end.clone(), now);
                }
            }
        }
    }

    /// Drops the job versions that the crashes at `agent` wait for and that are recorded now.
    pub(super) fn advance_crashes(&mut self, agent: &Name) {
        let Self { workers, jobs, .. } = self;
        let Some(worker) = workers.get_mut(agent).filter(|worker| !worker.crashes.is_empty())
        else {
            return;
        };
        for (_, required) in &mut worker.crashes {
            required.retain(|id, version| {
                let unrecorded = |job: &&mut Job| job.recorded < *version;
                let Some(job) = jobs.get_mut(id).filter(unrecorded) else { return false };
                job.ending.insert(agent.clone());
                true
            });
        }
        self.update_worker_lists(agent);
    }

    /// Counts a crash that the agent has observed for the runs that it names. Returns the tasks to
    /// give up.
    fn count_reported(&mut self, agent: &Name, crash: &Crash, now: Time) -> Vec<Task> {
        let window = self.settings.crash_window;
        let carried_out = crash.runs.iter().filter(|run| run.carried_out);
        let latest = carried_out.min_by_key(|run| run.outlived_ms).map(|run| run.task);
        let mut given_up = Vec::new();
        for CrashedRun { task, run, carried_out, outlived_ms } in crash.runs.iter().cloned() {
            let Some(state) = self.task_state(&task) else { continue };
            if state.phase == Phase::Done || (state.is_current(agent, run) && state.percent > 0) {
                continue;
            }
            let loss = Loss {
                task,
                run,
                carried_out,
                young: Duration::from_millis(outlived_ms) < window,
                age_ms: outlived_ms,
                // The agent does not tell when the worker was gone at the latest.
                certain: false,
                alone: false,
                latest: latest == Some(task),
            };
            if self.count_loss(agent, &loss, now) {
                given_up.push(task);
            }
        }
        given_up
    }

    /// Counts the crash of the worker of `agent` for the runs of `tasks` there. Returns the tasks to give up.
    pub(super) fn count_crash(&mut self, agent: &Name, tasks: &[Task], now: Time) -> Vec<Task> {
        let Some(worker) = self.workers.get(agent) else { return Vec::new() };
        let (alive_at, synced) = (worker.alive_at, worker.synced);
        let latest = self.latest_start(tasks);
        let mut given_up = Vec::new();
        for task in tasks.iter().copied() {
            let trial = self.trials.get(agent).filter(|trial| !trial.until.passed(now));
            let alone = trial.is_some_and(|trial| trial.task == task && trial.started);
            let window = self.settings.crash_window;
            let Some(state) = self.task_state(&task) else { continue };
            let Some((_, run)) = state.current().filter(|_| state.percent == 0) else { continue };
            let least = self.least_duration(&task);
            let loss = Loss {
                task,
                run,
                // An order that the worker has not answered may not have been carried out.
                carried_out: matches!(state.phase, Phase::Running { .. }),
                // If the agent has restarted too, a loss of power explains both.
                young: synced && !state.begun.after(window).passed(alive_at),
                age_ms: u64::try_from(now.since(state.begun).as_millis()).unwrap_or(u64::MAX),
                // A run that was adopted began earlier, and one with a checkpoint has less to do.
                certain: !state.resumed && !state.begun.after(least).passed(now),
                alone,
                latest: latest == Some(task),
            };
            if self.count_loss(agent, &loss, now) {
                given_up.push(task);
            }
        }
        given_up
    }

    /// Counts a crash for one run, unless it is counted already. Returns whether the task is to be
    /// given up.
    fn count_loss(&mut self, agent: &Name, loss: &Loss, now: Time) -> bool {
        let Loss { task, run, carried_out, young, age_ms, certain, alone, latest } = *loss;
        let Some(job) = self.jobs.get_mut(&task.job).filter(|job| job.ended.is_none()) else {
            return false;
        };
        let Some(position) = job.position(&task) else { return false };
        let state = &mut job.tasks[position];
        let never_begun = state.withdrawn == Some(run);
        if never_begun || state.crashed.contains(&run) {
            return false;
        }
        state.crashed.push(run);
        let suspected = carried_out && young;
        let mut likely = false;
        if suspected {
            job.add_suspicion(position, run, certain);
            let state = &mut job.tasks[position];
            state.likely = latest || state.suspected.len() > 1;
            likely = state.likely;
            let until = now.after(self.settings.trial_wait * if likely { 2 } else { 1 });
            state.alone_until = until;
            job.hold_until = job.hold_until.max(until);
        }
        if suspected || job.tasks[position].crashed.len() > 1 {
            job.tasks[position].crash_version = job.version + 1;
        }
        self.mark_changed(task.job, now);
        self.changes.add(task.job, now);
        let crashes = self.gang_runs(task, |state| &state.crashed);
        let suspicions = self.gang_runs(task, |state| &state.suspected);
        if suspected {
            let agent = agent.clone();
            self.events.push(Event::Suspect {
                task,
                run,
                agent,
                age_ms,
                certain,
                alone,
                likely,
                suspicions,
                crashes,
            });
        }
        let certain = self.gang_runs(task, |state| &state.certain);
        let proven = alone && suspected && certain >= MIN_SUSPICIONS;
        let is_cause = proven || (suspicions >= MIN_SUSPICIONS && crashes > MIN_SUSPICIONS);
        let most = if carried_out { MAX_CRASHES } else { MAX_CRASHES + 1 };
        is_cause || crashes >= most
    }

    /// Returns the shortest time that a run of `task` takes from its start to its end.
    fn least_duration(&self, task: &Task) -> Duration {
        let Some(job) = self.jobs.get(&task.job) else { return Duration::ZERO };
        Duration::from_millis(job.durations_ms[usize::from(task.step)]) / LEAST_DURATION_PART
    }

    /// Returns the likeliest cause of a crash among the runs of a worker: what started last before it.
    fn latest_start(&self, tasks: &[Task]) -> Option<Task> {
        let begun = |task: &Task| {
            let state = self.task_state(task)?;
            matches!(state.phase, Phase::Running { .. }).then_some((state.begun, *task))
        };
        tasks.iter().filter_map(begun).max().map(|(_, task)| task)
    }

    /// Ends the jobs of tasks that crash their workers.
    pub(super) fn give_up(&mut self, tasks: Vec<Task>, now: Time) {
        for task in tasks {
            if self.jobs.get(&task.job).is_none_or(|job| job.ended.is_some()) {
                continue;
            }
            let crashes = self.gang_runs(task, |state| &state.crashed);
            let suspicions = self.gang_runs(task, |state| &state.suspected);
            self.events.push(Event::GivenUp { task, crashes, suspicions });
            let reason = "its task crashed the workers that started it";
            self.end_job(task.job, State::Failed, reason, now);
        }
    }

    /// Counts the different runs that `runs` names for `task` or its gang.
    pub(super) fn gang_runs(&self, task: Task, runs: fn(&TaskState) -> &Vec<u32>) -> usize {
        let Some(job) = self.jobs.get(&task.job) else { return 0 };
        let members =
            self.gang_members(task).into_iter().filter_map(|member| job.position(&member));
        let runs = members.flat_map(|position| runs(&job.tasks[position]).iter().copied());
        runs.collect::<BTreeSet<u32>>().len()
    }

    /// Clears `task` of suspicion if its run, which its worker has just listed, has outlived the
    /// start by long enough.
    pub(super) fn clear_survivor(&mut self, agent: &Name, task: Task, now: Time) {
        let window = self.settings.crash_window;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        if !job.tasks[position].begun.after(window).passed(now) {
            return;
        }
        let long_running = job.step(&task).long_running;
        let mut cleared = job.clear_suspicion(position);
        if cleared {
            job.hold_until = now;
        }
        // The task of a service may lose many workers over the time that it lasts.
        if long_running && !job.tasks[position].crashed.is_empty() {
            job.tasks[position].crashed.clear();
            cleared = true;
        }
        if cleared {
            self.mark_changed(task.job, now);
            self.may_start = true;
        }
        self.end_trial(agent, &task);
    }

    /// Ends the trial of `task` at the worker of `agent`, if there is one.
    pub(super) fn end_trial(&mut self, agent: &Name, task: &Task) {
        if self.trials.get(agent).is_some_and(|trial| trial.task == *task) {
            self.trials.remove(agent);
            self.may_start = true;
        }
    }

    /// Returns whether `task` may start at the worker of `agent` beside the trials there.
    pub(super) fn admits(&self, agent: &Name, task: &Task, now: Time) -> bool {
        let trial = self.trials.get(agent).filter(|trial| !trial.until.passed(now));
        trial.is_none_or(|trial| trial.task == *task)
    }

    /// Returns whether every run of the worker of `agent` has outlived its start by long enough.
    pub(super) fn is_settled(&self, agent: &Name) -> bool {
        let window = self.settings.crash_window;
        self.workers.get(agent).is_some_and(|worker| {
            let vacated = worker.placed.is_empty() && worker.remnants.is_empty();
            vacated || worker.last_start.after(window).passed(worker.alive_at)
        })
    }

    /// Starts one of the suspects in `waiting` alone, if the job has none on trial. Returns whether
    /// one was started, and which tasks may start like any other.
    pub(super) fn place_suspects(
        &mut self,
        id: Id,
        waiting: Vec<usize>,
        now: Time,
        holders: &BTreeSet<Name>,
    ) -> (bool, Vec<usize>) {
        let Some(job) = self.jobs.get(&id) else { return (false, Vec::new()) };
        let alone = |position: &usize| job.tasks[*position].must_start_alone(now);
        let (suspects, others): (Vec<usize>, Vec<usize>) = waiting.into_iter().partition(alone);
        let on_trial = self
            .trials
            .values()
            .any(|trial| trial.task.job == id && trial.started && !trial.until.passed(now));
        let mut started = false;
        if !on_trial {
            let (likely, rest): (Vec<usize>, Vec<usize>) =
                suspects.into_iter().partition(|position| job.tasks[*position].likely);
            started = likely
                .into_iter()
                .chain(rest)
                .any(|position| self.place_alone(id, position, now, holders));
        }
        let held = self.jobs.get(&id).is_some_and(|job| job.is_held(now));
        (started, if held { Vec::new() } else { others })
    }

    /// Starts a suspect at a worker where nothing else has started lately, or keeps a worker for it.
    fn place_alone(
        &mut self,
        id: Id,
        position: usize,
        now: Time,
        holders: &BTreeSet<Name>,
    ) -> bool {
        self.trials.retain(|_, trial| !trial.until.passed(now));
        let Some(job) = self.jobs.get(&id) else { return false };
        let likely = job.tasks[position].likely;
        let most = (self.workers.len() / WORKERS_PER_TRIAL).max(1);
        // One trial is left to the likely causes of crashes to come.
        let limit = if likely { most } else { most - 1 };
        let task = job.task(position);
        let kept = self.trials.iter().find(|(_, trial)| trial.task == task);
        let kept = kept.map(|(agent, _)| agent.clone());
        let search = |isolation| {
            let pass = Pass {
                now,
                holders,
                except: None,
                racks: &[],
                isolation,
                members: 0,
                starved: false,
            };
            Search::new(self, pass, job, position).run()
        };
        let mut found = Outcome::Unsuited;
        if kept.is_some() || self.trials.len() < limit {
            found = search(Isolation::Alone);
        }
        if let Outcome::Worker { agent, pressure, .. } = found {
            if let Some(kept) = kept {
                self.end_trial(&kept, &task);
            }
            self.occupy(&agent, task);
            self.start_alone(task, agent, pressure, now);
            return true;
        }
        let mut until = Time::ZERO;
        if kept.is_none()
            && likely
            && self.trials.len() < limit
            && let Outcome::Worker { agent, .. } = search(Isolation::Awaited)
        {
            until = now.after(self.settings.trial_wait + self.settings.crash_window);
            self.trials.insert(agent, Trial { task, started: false, until });
        }
        let again = now.after(self.settings.search_interval);
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        job.hold_until = job.hold_until.max(until);
        let state = &mut job.tasks[position];
        state.alone_until = state.alone_until.max(until);
        state.retry_at = again;
        false
    }

    /// Keeps the worker of `agent` for the start of `task` until its result is known.
    pub(super) fn begin_trial(&mut self, agent: &Name, task: Task, now: Time) {
        let until = now.after(self.settings.crash_window * TRIAL_WINDOWS);
        self.trials.insert(agent.clone(), Trial { task, started: true, until });
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.hold_until = job.hold_until.max(until);
        }
    }
}

impl Worker {
    /// Returns the start of the last incarnation, in the agent's order, up to which all crashes that the
    /// agent reports are recorded, in milliseconds since 1970; 0 if the first is not recorded.
    pub(super) fn crashes_recorded_ms(&self) -> u64 {
        let recorded = self.crashes.iter().take_while(|(_, required)| required.is_empty());
        recorded.last().map_or(0, |(incarnation, _)| incarnation.started_ms)
    }
}

impl Job {
    /// Returns whether its other tasks wait for a suspect: a job with a task that crashes workers is
    /// of no use.
    pub(super) fn is_held(&self, now: Time) -> bool {
        self.suspects > 0 && !self.hold_until.passed(now)
    }

    fn add_suspicion(&mut self, position: usize, run: u32, certain: bool) {
        let state = &mut self.tasks[position];
        self.suspects += u32::from(state.suspected.is_empty());
        state.suspected.push(run);
        if certain {
            state.certain.push(run);
        }
    }

    /// Returns whether the task at `position` was suspected.
    pub(super) fn clear_suspicion(&mut self, position: usize) -> bool {
        let state = &mut self.tasks[position];
        let suspected = !state.suspected.is_empty();
        self.suspects -= u32::from(suspected);
        state.suspected.clear();
        state.certain.clear();
        suspected
    }

    /// Counts the suspected tasks that are not done.
    pub(super) fn count_suspects(&self) -> u32 {
        let suspects = self.tasks.iter().filter(|state| !state.suspected.is_empty()).count();
        u32::try_from(suspects).unwrap_or(u32::MAX)
    }

    /// Lets each suspect that a predecessor recorded wait for a trial until `until`.
    pub(super) fn await_trials(&mut self, until: Time) {
        if self.suspects == 0 {
            return;
        }
        for state in self.tasks.iter_mut().filter(|state| !state.suspected.is_empty()) {
            state.alone_until = until;
            state.likely = true;
        }
        self.hold_until = until;
    }
}
