//! Applies the reports of agents to the table.

use super::fate::{Evidence, Fate};
use super::message::{Answer, End, ExitReason, Outcome, Report, Run, Status};
use super::table::UNLISTED;
use super::timers::Timer;
use super::{Event, Phase, Table, Worker};
use shallotflow_core::graph::{State, Task};
use shallotflow_core::list::Whole;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::collections::BTreeSet;

/// Offset between the run numbers of one owner and those of its predecessor, so that the numbers of
/// a new owner are above all that the predecessor assigned.
const RUNS_PER_EPOCH: u64 = 1_024;

/// Returns whether the worker does not answer and its last lease has ended.
fn is_empty(report: &Report) -> bool {
    report.worker.as_ref().is_some_and(|profile| profile.status == Status::Empty)
}

impl Table {
    /// Applies a report. A report that arrives after a later one has no effect.
    pub fn apply_report(&mut self, report: Report, now: Time) {
        let agent = report.agent.clone();
        if self.missing.contains_key(UNLISTED) && !self.workers.contains_key(&agent) {
            self.holders_version += 1;
            self.missing.entry(agent.clone()).or_insert(now);
        }
        let worker = self.workers.entry(agent.clone()).or_default();
        if worker.replaced.contains(&report.process) {
            return;
        }
        let regained = worker.last_report.after(self.settings.report_timeout).passed(now);
        if worker.process != report.process {
            // Orders that the former process received but did not execute are withdrawn once the
            // lists of the new process are complete.
            worker.replace_process(report.process);
            worker.outbox.clear();
            worker.last_order = 0;
            worker.sequence = 0;
            worker.synced = false;
        }
        if report.sequence <= worker.sequence {
            return;
        }
        worker.sequence = report.sequence;
        worker.last_order = worker.last_order.max(report.received);
        worker.last_report = now;
        worker.quiet = false;
        worker.is_readable = report.complete;
        if worker.may_renew() {
            worker.empty_at = now.after(self.settings.lease.wait());
            if let Some(empty_at) = self.missing.get_mut(&agent) {
                *empty_at = worker.empty_at;
            }
        }
        worker.vacant = report.vacant;
        worker.lacks_traits = report.lacks_traits;
        worker.known_evacuated = report.additions.evacuated;
        worker.update_generation(&report.additions.restart);
        if report.running.is_some() {
            worker.listed_sequence = report.sequence;
        }
        // A silent worker gets no tasks, and may get them from its next report on.
        if regained {
            self.refusals.clear();
            self.may_start = true;
        }
        if report.lacks_traits {
            self.updated.insert(agent.clone());
        }
        let was_full = worker.holds_back_starts();
        worker.outbox.confirm(report.received);
        if was_full && !worker.holds_back_starts() {
            self.refusals.clear();
            self.may_start = true;
        }
        let was_leaving = worker.is_leaving();
        // A worker that has crashed since had carried out these starts.
        for answer in report.answers.iter().filter(|answer| answer.outcome == Outcome::Started) {
            self.apply_answer(&agent, answer, now);
        }
        // Runs that had ended before a crash are none that it ended.
        self.apply_crashed_ends(&agent, &report.additions.crashes, now);
        self.update_worker(&agent, &report, now);
        if report.vacant {
            let leaving = self.workers.get(&agent).is_some_and(Worker::is_leaving);
            // A silent worker that has not registered since its agent started counts as vacant too.
            let gone = report.worker.is_some() || report.additions.gone;
            let crash = gone && !was_leaving && !leaving;
            let evidence = Evidence::of(&report);
            self.lose_runs(&agent, "no worker runs beside the agent", crash, evidence, now);
        }
        self.apply_crashes(&agent, &report.additions.crashes, now);
        if report.vacant || is_empty(&report) {
            self.forget_missing(&agent, now);
        }
        self.update_worker_lists(&agent);
        let part = report.additions.part.as_ref();
        // An agent that has not read the lists yet says nothing of them.
        if let Some(worker) = self.workers.get_mut(&agent).filter(|_| report.complete) {
            worker.last_end = part.and_then(|part| part.last_end);
        }
        for end in report.ends {
            self.apply_end(&agent, end, now);
        }
        for answer in &report.answers {
            self.apply_answer(&agent, answer, now);
        }
        for run in part.iter().flat_map(|part| &part.running) {
            self.apply_run(&agent, run, now);
        }
        if let Some(running) = &report.running {
            let restart = &report.additions.restart;
            let settled =
                self.workers.get(&agent).is_some_and(|worker| worker.is_settled_by(restart));
            self.apply_running(&agent, running, report.complete && settled, now);
            self.learn_rates(&agent, now);
        }
        self.advance_recorded(&agent);
    }

    /// Removes an agent from those that may hold runs of predecessors.
    fn forget_missing(&mut self, agent: &Name, now: Time) {
        if self.missing.remove(agent).is_some() {
            self.holders_version += 1;
        }
        self.settle_uncertain(now);
    }

    /// Updates the profile of the worker, and releases its runs if it restarted or is empty.
    fn update_worker(&mut self, agent: &Name, report: &Report, now: Time) {
        let Some(worker) = self.workers.get_mut(agent) else { return };
        let was_leaving = worker.is_leaving();
        if let Some(profile) = &report.worker {
            let former = worker.profile.replace(profile.clone());
            self.sizes.observe(&profile.service, &profile.capacity);
            if let Some(former) = former.filter(|former| former.capacity != profile.capacity) {
                self.resize_worker(agent, &former.capacity, now);
            }
            self.update_evacuation(agent, now);
        }
        let Some(worker) = self.workers.get_mut(agent) else { return };
        let Some(incarnation) = &report.incarnation else { return };
        let previous = worker.incarnation.replace(incarnation.clone());
        let restarted = previous.is_some_and(|previous| previous != *incarnation);
        if restarted {
            worker.ends.clear();
            worker.last_end = None;
            worker.recorded = 0;
            worker.failing_jobs.clear();
            worker.ejected_until = Time::ZERO;
            worker.ejections = 0;
            worker.refusals = 0;
            worker.paused_until = Time::ZERO;
            // A new process of the agent does not know what its predecessor has sent.
            let knows_starts = worker.synced;
            worker.begin_incarnation();
            self.updated.insert(agent.clone());
            let evidence = Evidence::of(report).with_known_starts(knows_starts);
            self.lose_runs(agent, "the worker started again", !was_leaving, evidence, now);
        } else if is_empty(report) {
            let evidence = Evidence::of(report);
            self.lose_runs(agent, "the last lease has ended", false, evidence, now);
        }
    }

    /// Applies a changed capacity of a worker; its runs go on.
    fn resize_worker(&mut self, agent: &Name, former: &Bundle, now: Time) {
        let Some(worker) = self.workers.get(agent) else { return };
        let Some(capacity) = worker.profile.as_ref().map(|profile| profile.capacity) else {
            return;
        };
        if !former.holds(&capacity) {
            self.refusals.clear();
            self.may_start = true;
        }
        if capacity.holds(former) || worker.load.has_room(&capacity, &Bundle::default()) {
            return;
        }
        // The agent refuses starts that it received before it reported the smaller capacity.
        for (task, run) in self.withdraw_starts(agent) {
            let state = self.task_state(&task);
            if state.is_some_and(|state| state.is_current(agent, run)) {
                self.stop_run(task, "its worker has shrunk", now);
            }
        }
    }

    /// Removes the orders to start that `agent` has not confirmed as received; returns their runs.
    pub(super) fn withdraw_starts(&mut self, agent: &Name) -> Vec<(Task, u32)> {
        let Some(worker) = self.workers.get_mut(agent) else { return Vec::new() };
        let starts = worker.outbox.take_starts();
        for (task, run) in &starts {
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            let Some(position) = job.position(task) else { continue };
            job.tasks[position].withdrawn = Some(*run);
        }
        starts
    }

    /// Releases the runs of `agent` that have ended, as far as `evidence` shows. Those that the worker's
    /// present incarnation runs stay, and those that may still start are stopped first.
    ///
    /// `crash` means that the worker is known to have crashed: not that it left as announced, nor
    /// that it or its agent is silent.
    pub(super) fn lose_runs(
        &mut self,
        agent: &Name,
        reason: &'static str,
        crash: bool,
        mut evidence: Evidence,
        now: Time,
    ) {
        let Some(worker) = self.workers.get(agent) else { return };
        let remnants: Vec<_> =
            worker.remnants.iter().map(|(key, remnant)| (*key, remnant.listed)).collect();
        evidence.may_still_start = worker.synced
            && !worker.vacant
            && worker.profile.as_ref().is_some_and(|p| p.status != Status::Empty)
            && !worker.empty_at.passed(now);
        let placed: Vec<Task> = worker.placed.keys().copied().collect();
        let fate = |task: &Task| {
            let phase = &self.task_state(task)?.phase;
            let run = self.task_state(task)?.current().map_or(0, |(_, run)| run);
            Some((*task, run, evidence.fate(*task, run, phase)))
        };
        let fates: Vec<(Task, u32, Fate)> = placed.iter().filter_map(fate).collect();
        for ((task, run), listed) in remnants {
            if evidence.may_still_start && !listed {
                self.order_stop(agent, task, run, "its start may still be carried out");
            } else {
                self.remove_remnant(agent, task, run);
            }
        }
        let lost = |(_, _, fate): &&(Task, u32, Fate)| *fate != Fate::Active;
        let lost: Vec<Task> = fates.iter().filter(lost).map(|(task, ..)| *task).collect();
        if lost.is_empty() {
            return;
        }
        if fates.iter().any(|(_, _, fate)| *fate == Fate::Over) {
            let runs = lost.len();
            self.events.push(Event::Lost { agent: agent.clone(), reason, runs, crash });
        }
        // The next incarnation may be a smaller worker.
        self.withdraw_starts(agent);
        let given_up = if crash { self.count_crash(agent, &lost, now) } else { Vec::new() };
        for (task, run, fate) in fates {
            match fate {
                Fate::Active => {}
                Fate::Over => self.release_task(task, now, now),
                Fate::Unknown => self.settle_start(agent, task, run, evidence.may_still_start, now),
            }
        }
        self.give_up(given_up, now);
    }

    /// Orders the stop of a run that may still start; its task waits until the worker has confirmed it.
    ///
    /// A worker that is gone or silent has not answered the former stop, which its agent repeats; the next
    /// incarnation needs another one.
    fn settle_start(&mut self, agent: &Name, task: Task, run: u32, again: bool, now: Time) {
        let reason = "its start may still be carried out";
        let Some(state) = self.task_state(&task) else { return };
        match state.phase {
            Phase::Stopping { .. } if again => self.order_stop(agent, task, run, reason),
            Phase::Stopping { .. } => {}
            _ => self.stop_run(task, reason, now),
        }
    }

    fn apply_end(&mut self, agent: &Name, end: End, now: Time) {
        let Some(worker) = self.workers.get_mut(agent) else { return };
        if end.number <= worker.recorded || worker.ends.contains_key(&end.number) {
            return;
        }
        let (number, id) = (end.number, end.task.job);
        worker.ends.insert(number, None);
        self.settle_end(agent, end, now);
        let unrecorded = self.jobs.get(&id).filter(|job| job.recorded < job.version);
        let required = unrecorded.map(|job| (job.id, job.version));
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.ends.insert(number, required);
        }
    }

    /// Applies the end of a run to its task.
    pub(super) fn settle_end(&mut self, agent: &Name, end: End, now: Time) {
        let End { task, run, reason, .. } = end;
        self.events.push(Event::End { task, run, agent: agent.clone(), reason });
        self.remove_remnant(agent, task, run);
        self.mark_started(task.job, now);
        if reason == ExitReason::Done {
            self.learn_duration(agent, task, run, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let long_running = job.step(&task).long_running;
        let attempts = job.queue.attempts.max(1) as usize;
        let state = &mut job.tasks[position];
        state.last_run = state.last_run.max(run);
        let current = state.is_current(agent, run);
        if state.phase != Phase::Done && end.checkpoint.is_some() {
            state.checkpoint = end.checkpoint;
        }
        match reason {
            ExitReason::Done if !long_running => {
                // The end of one member counts for the whole gang.
                for member in self.gang_members(task) {
                    self.finish_task(agent, member, run, member == task, now);
                }
            }
            ExitReason::Failed => {
                let counted = state.failed.contains(&run);
                if !counted && !long_running {
                    state.failed.push(run);
                }
                state.avoided = Some(agent.clone());
                state.misses = state.misses.saturating_add(1);
                let misses = state.misses;
                let exhausted = !long_running && self.failures(task) >= attempts;
                if current {
                    let retry = if long_running { self.backoff(misses, now) } else { now };
                    self.release_task(task, now, retry);
                }
                self.mark_changed(task.job, now);
                if exhausted {
                    self.end_job(task.job, State::Failed, "a task failed in all its attempts", now);
                }
                self.eject_if_failing(agent, task, now);
            }
            _ => {
                if current {
                    self.release_task(task, now, now);
                }
                if matches!(reason, ExitReason::Done | ExitReason::Stopped | ExitReason::Lapsed) {
                    self.mark_changed(task.job, now);
                }
            }
        }
    }

    /// Returns the members of the gang of `task`, or only `task` if it is in no gang.
    pub(super) fn gang_members(&self, task: Task) -> Vec<Task> {
        let Some(job) = self.jobs.get(&task.job) else { return Vec::new() };
        if !job.step(&task).gang {
            return vec![task];
        }
        let range = job.range(task.occurrence, usize::from(task.step));
        range.map(|position| job.task(position)).collect()
    }

    /// Counts the failed runs of `task` or of its gang.
    fn failures(&self, task: Task) -> usize {
        self.gang_runs(task, |state| &state.failed)
    }

    /// Marks `task` as done, whichever run completed it; `run` at `agent` has ended, and its end is
    /// `listed` unless it is that of another member of the gang.
    fn finish_task(&mut self, agent: &Name, task: Task, run: u32, listed: bool, now: Time) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let gang = job.step(&task).gang;
        if job.tasks[position].phase == Phase::Done {
            return;
        }
        let starting = matches!(job.tasks[position].phase, Phase::Starting { .. });
        let other = job.tasks[position].current().map(|(other, run)| (other.clone(), run));
        if let Some((other, number)) = other {
            if listed && number == run && other == *agent {
                self.vacate(&other, &task);
            } else {
                self.detach_run(&other, task, number);
                // The other members of a gang end by themselves.
                if !gang || number != run || starting {
                    self.order_stop(&other, task, number, "another run has done its work");
                }
            }
        }
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.failing_jobs.clear();
            worker.ejections = 0;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.set_phase(position, Phase::Done);
        job.tasks[position].done_at = now;
        if job.step(&task).best_effort && job.is_deferrable() {
            self.backlogs.complete(&job.queue.service, job.task_work(usize::from(task.step)));
        }
        job.tasks[position].checkpoint = None;
        job.clear_suspicion(position);
        let done = job.is_done();
        self.mark_changed(task.job, now);
        if done {
            self.end_job(task.job, State::Completed, "every task is done", now);
        }
        self.mark_ready(task, now);
    }

    /// Sets the time from which tasks are ready whose steps depend on that of `task`.
    fn mark_ready(&mut self, task: Task, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        for step in 0..job.spec.steps.len() {
            let depends = job.spec.steps[step].after.contains(&task.step);
            if depends && job.is_open(task.occurrence, step) {
                let range = job.range(task.occurrence, step);
                for state in &mut job.tasks[range] {
                    state.ready_since = now;
                    state.idle_since = Some(now);
                }
            }
        }
        self.update_ready(task.job, now);
    }

    /// Ejects a worker on which tasks of several jobs failed in a row.
    fn eject_if_failing(&mut self, agent: &Name, task: Task, now: Time) {
        let workers = self.workers.len();
        let ejected =
            self.workers.values().filter(|worker| !worker.ejected_until.passed(now)).count();
        let Some(worker) = self.workers.get_mut(agent) else { return };
        worker.failing_jobs.insert(task.job);
        let failures = u32::try_from(worker.failing_jobs.len()).unwrap_or(u32::MAX);
        // With a third of the workers ejected, the cause is not a single worker.
        if failures < self.settings.ejection_failures || ejected * 3 >= workers {
            return;
        }
        let pause = self.settings.ejection.saturating_mul(1 << worker.ejections.min(4));
        worker.ejected_until = now.after(pause);
        worker.ejections += 1;
        worker.failing_jobs.clear();
        let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        self.events.push(Event::Ejected { agent: agent.clone(), failures, pause_ms });
    }

    fn apply_answer(&mut self, agent: &Name, answer: &Answer, now: Time) {
        let Answer { task, run, outcome } = *answer;
        if outcome == Outcome::Absent {
            self.remove_remnant(agent, task, run);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let state = &mut job.tasks[position];
        if !state.is_current(agent, run) {
            return;
        }
        if outcome != Outcome::Started {
            self.events.push(Event::Answer { task, run, agent: agent.clone(), outcome });
        }
        match (&state.phase, outcome) {
            (Phase::Starting { .. }, Outcome::Started) => {
                job.set_phase(position, Phase::Running { agent: agent.clone(), run });
                let state = &mut job.tasks[position];
                state.idle_since = None;
                state.stalls_at = now.after(self.settings.stall_timeout);
                self.timers.push(state.stalls_at, Timer::Run(task));
                state.misses = 0;
                state.refused_by = None;
                state.unanswered = false;
                if let Some(worker) = self.workers.get_mut(agent) {
                    worker.refusals = 0;
                }
                self.mark_started(task.job, now);
            }
            (_, Outcome::Started) => {}
            (Phase::Starting { .. }, Outcome::Old) => {
                state.unanswered = true;
                // The answer to the stop shows whether the run has started and ended.
                self.stop_run(task, "the worker knows the run or a later one", now);
            }
            (Phase::Stopping { .. }, outcome) if outcome != Outcome::Absent => {}
            (_, Outcome::Absent) => {
                let unanswered = std::mem::take(&mut state.unanswered)
                    || matches!(state.phase, Phase::Starting { .. });
                state.misses = state.misses.saturating_add(1);
                if unanswered {
                    state.refused_by = Some(agent.clone());
                }
                self.release_task(task, now, now);
                if unanswered {
                    self.pause_worker(agent, now);
                }
            }
            (_, Outcome::Refused) => {
                state.misses = state.misses.saturating_add(1);
                state.refused_by = Some(agent.clone());
                let misses = state.misses;
                let retry = self.backoff(misses, now);
                self.release_task(task, now, retry);
            }
            (_, outcome) => {
                state.refused_by = Some(agent.clone());
                // The pause of the worker limits the tries, so the task can go elsewhere at once.
                self.release_task(task, now, now.after(self.settings.retry_pause));
                self.pause_worker(agent, now);
                let evacuated = self.workers.get(agent).is_some_and(|worker| worker.evacuated);
                if evacuated && outcome == Outcome::NotReady {
                    self.evacuations.count_refusal();
                }
            }
        }
    }

    /// Pauses a worker that refused a start or did not answer it, for longer with each one in a row.
    fn pause_worker(&mut self, agent: &Name, now: Time) {
        let Some(worker) = self.workers.get_mut(agent) else { return };
        // Starts that were ordered together are refused together.
        if !worker.paused_until.passed(now) {
            return;
        }
        let factor = 1 << worker.refusals.min(8);
        let first = self.settings.retry_pause.saturating_mul(4);
        let pause = first.saturating_mul(factor).min(self.settings.max_retry_pause);
        worker.refusals = worker.refusals.saturating_add(1);
        worker.paused_until = now.after(pause);
    }

    fn apply_running(&mut self, agent: &Name, running: &Whole<Run>, complete: bool, now: Time) {
        for run in running.iter() {
            self.apply_run(agent, run, now);
        }
        self.remove_unlisted(agent, running);
        let Some(worker) = self.workers.get_mut(agent) else { return };
        // The agent of a worker that does not answer repeats what it last listed.
        if !worker.is_silent() {
            worker.listed_at = now;
            worker.alive_at = now;
        }
        if !complete || (worker.synced && !worker.is_unsettled) {
            return;
        }
        if std::mem::take(&mut worker.is_unsettled) {
            self.refusals.clear();
            self.may_start = true;
        }
        worker.synced = true;
        if !std::mem::replace(&mut worker.lease_timer, true) {
            self.timers.push(worker.empty_at, Timer::Worker(agent.clone()));
        }
        let reason = "its agent or its worker started again";
        let listed: BTreeSet<Task> = running.iter().map(|run| run.task).collect();
        let placed: Vec<Task> = worker.placed.keys().copied().collect();
        for task in placed {
            match self.task_state(&task).map(|state| state.phase.clone()) {
                // The former process of the agent may have received the order without executing it.
                Some(Phase::Stopping { run, .. }) => self.order_stop(agent, task, run, reason),
                _ if listed.contains(&task) => {}
                Some(Phase::Starting { .. }) => self.stop_run(task, reason, now),
                _ => self.release_task(task, now, now),
            }
        }
        let Some(worker) = self.workers.get(agent) else { return };
        let remnants = worker.remnants.iter().filter(|(_, remnant)| !remnant.listed);
        for (task, run) in remnants.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.order_stop(agent, task, run, reason);
        }
        self.forget_missing(agent, now);
        self.update_worker_lists(agent);
    }

    /// Removes the remnants at a worker that it has listed before and lists no more.
    fn remove_unlisted(&mut self, agent: &Name, running: &Whole<Run>) {
        let Some(worker) = self.workers.get(agent) else { return };
        if worker.remnants.is_empty() {
            return;
        }
        let listed: BTreeSet<(Task, u32)> = running.iter().map(|run| (run.task, run.run)).collect();
        let gone = worker.remnants.iter().filter(|(_, remnant)| remnant.listed);
        let gone: Vec<_> = gone.map(|(key, _)| *key).filter(|key| !listed.contains(key)).collect();
        for (task, run) in gone {
            self.remove_remnant(agent, task, run);
        }
    }

    /// Applies one run of a worker's list.
    fn apply_run(&mut self, agent: &Name, run: &Run, now: Time) {
        let Run { task, run: number, .. } = *run;
        let stall = self.settings.stall_timeout;
        // After a silence, the owner cannot tell whether the run stalls or the worker was paused.
        let worker = self.workers.get(agent);
        let regained = worker
            .is_some_and(|worker| worker.listed_at.after(self.settings.report_timeout).passed(now));
        let silent = worker.is_some_and(Worker::is_silent);
        let active = self.jobs.get_mut(&task.job).filter(|job| job.ended.is_none());
        let Some(job) = active else {
            return self.stop_unexpected(
                agent,
                task,
                number,
                "its job has ended or is not known",
                now,
            );
        };
        let Some(position) = job.position(&task) else {
            return self.stop_unexpected(agent, task, number, "its job has no such task", now);
        };
        let gang = job.step(&task).gang;
        let state = &mut job.tasks[position];
        state.last_run = state.last_run.max(number);
        match &state.phase {
            Phase::Uncertain => self.adopt_run(agent, task, number, now),
            // A second run beside this one would do the work twice.
            Phase::Waiting if !silent => {
                self.adopt_run(agent, task, number, now);
                self.update_ready(task.job, now);
                if gang {
                    // The other members have ended or never started.
                    self.stop_run(task, "the other members of its gang do not run", now);
                }
            }
            _ if !state.is_current(agent, number) => {
                return self.stop_unexpected(
                    agent,
                    task,
                    number,
                    "another run goes on or is done",
                    now,
                );
            }
            Phase::Starting { .. } => {
                job.set_phase(position, Phase::Running { agent: agent.clone(), run: number });
                let state = &mut job.tasks[position];
                state.idle_since = None;
                state.stalls_at = now.after(stall);
                self.timers.push(state.stalls_at, Timer::Run(task));
                self.mark_started(task.job, now);
            }
            _ => {}
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let long_running = job.step(&task).long_running;
        let state = &mut job.tasks[position];
        let progressed = run.percent != state.percent;
        // A throttled run counts as making progress, and so does one that lasts.
        if progressed || long_running || run.pace < 100 || regained {
            state.percent = run.percent;
            state.stalls_at = now.after(stall);
        }
        if run.checkpoint.is_some() {
            state.checkpoint.clone_from(&run.checkpoint);
        }
        if run.pace >= self.settings.slow_pace {
            state.slowed_since = None;
        } else if state.slowed_since.is_none() {
            state.slowed_since = Some(now);
            self.timers.push(now.after(self.settings.relocation_delay), Timer::Relocate(task));
        }
        self.count_work(agent, &task, now);
        if let Some(placed) =
            self.workers.get_mut(agent).and_then(|worker| worker.placed.get_mut(&task))
        {
            placed.measurement = run.measurement;
            placed.pace = run.pace;
            placed.listed_at = now;
        }
        if progressed {
            self.count_progress(agent, &task, run.percent, now);
        }
        self.clear_survivor(agent, task, now);
    }

    /// Makes a run that a worker lists the current one of its task, which has no other.
    fn adopt_run(&mut self, agent: &Name, task: Task, run: u32, now: Time) {
        let stall = self.settings.stall_timeout;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        job.set_phase(position, Phase::Running { agent: agent.clone(), run });
        let state = &mut job.tasks[position];
        state.idle_since = None;
        state.begun = now;
        state.resumed = true;
        state.stalls_at = now.after(stall);
        self.timers.push(state.stalls_at, Timer::Run(task));
        self.mark_started(task.job, now);
        self.remove_remnant(agent, task, run);
        self.occupy(agent, task);
        self.count_start(agent, &task, now);
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.last_start = now;
        }
        self.events.push(Event::Adopted { task, run, agent: agent.clone() });
    }

    fn stop_unexpected(
        &mut self,
        agent: &Name,
        task: Task,
        run: u32,
        reason: &'static str,
        now: Time,
    ) {
        let Some(worker) = self.workers.get(agent) else { return };
        let state = self.task_state(&task);
        let stopping = state.is_some_and(|state| {
            matches!(state.phase, Phase::Stopping { .. }) && state.is_current(agent, run)
        });
        let occupies = state.is_some_and(|state| state.is_current(agent, run));
        if !stopping && !worker.outbox.stops(task, run) {
            self.order_stop(agent, task, run, reason);
        }
        if !occupies {
            self.add_remnant(agent, task, run, now);
        }
    }

    /// Advances the watermark up to which the worker may discard ended runs.
    pub(super) fn advance_recorded(&mut self, agent: &Name) {
        self.advance_crashes(agent);
        let Self { workers, jobs, updated, .. } = self;
        let Some(Worker { ends, recorded, last_end, .. }) = workers.get_mut(agent) else { return };
        while let Some((number, required)) = ends.first_key_value() {
            if last_end.is_some_and(|last_end| *number > last_end) {
                break;
            }
            let job = required.and_then(|(id, version)| Some((jobs.get_mut(&id)?, version)));
            if let Some((job, version)) = job
                && job.recorded < version
            {
                job.ending.insert(agent.clone());
                break;
            }
            *recorded = *number;
            ends.pop_first();
            updated.insert(agent.clone());
        }
    }

    /// Returns the number of the next run of a task whose last run was `last`.
    pub(super) fn next_run(&self, last: u32) -> u32 {
        let base = self.epoch.saturating_sub(1).saturating_mul(RUNS_PER_EPOCH);
        let base = u32::try_from(base).unwrap_or(u32::MAX - 1);
        last.max(base).saturating_add(1)
    }
}
