//! The system that takes agents' reports in.

use super::message::{Answer, End, ExitReason, Kind, Outcome, Report, Run, Status};
use super::{Event, Phase, Table, Worker};
use shallotflow_core::graph::{State, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeSet;

/// How far the numbers of runs of one owner lie above those of its predecessor.
const RUNS_PER_EPOCH: u64 = 1_024;

impl Table {
    /// Takes a report in. One that was overtaken by a later one changes nothing.
    pub fn apply_report(&mut self, report: Report, now: Time) {
        let agent = report.agent.clone();
        let worker = self.workers.entry(agent.clone()).or_default();
        if worker.process != report.process {
            // What the former process received but did not carry out is withdrawn when the lists
            // of the new one are complete.
            worker.process = report.process;
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
        worker.empty_at = now.after(self.settings.lease);
        worker.vacant = report.vacant;
        worker.lacks_traits = report.lacks_traits;
        if report.running.is_some() {
            worker.listed_sequence = report.sequence;
        }
        while worker.outbox.front().is_some_and(|order| order.number <= report.received) {
            worker.outbox.pop_front();
        }
        self.update_worker(&agent, &report, now);
        if report.vacant {
            self.lose_runs(&agent, "no worker runs beside the agent", now);
            self.missing.remove(&agent);
            self.settle_uncertain(now);
        }
        for end in report.ends {
            self.apply_end(&agent, end, now);
        }
        for answer in &report.answers {
            self.apply_answer(&agent, answer, now);
        }
        if let Some(running) = &report.running {
            self.apply_running(&agent, running, report.complete, now);
            self.learn_rates(&agent);
        }
        self.advance_recorded(&agent);
    }

    /// Compares the worker with the one that was known.
    fn update_worker(&mut self, agent: &Name, report: &Report, now: Time) {
        let Some(worker) = self.workers.get_mut(agent) else { return };
        if let Some(profile) = &report.worker {
            worker.profile = Some(profile.clone());
            self.sizes.observe(&profile.service, &profile.capacity);
        }
        let Some(lifetime) = &report.incarnation else { return };
        let known = worker.incarnation.replace(lifetime.clone());
        let reborn = known.is_some_and(|known| known != *lifetime);
        let empty = report.worker.as_ref().is_some_and(|p| p.status == Status::Empty);
        if reborn {
            worker.ends.clear();
            worker.recorded = 0;
            worker.failing_jobs.clear();
            worker.ejected_until = Time::ZERO;
            worker.ejections = 0;
            self.lose_runs(agent, "the worker started again", now);
        } else if empty {
            self.lose_runs(agent, "the last lease has ended", now);
        }
    }

    /// The runs of `agent` are over. Starts that were not answered may still be carried out in a
    /// new life of the worker, so they are withdrawn there first.
    pub(super) fn lose_runs(&mut self, agent: &Name, reason: &'static str, now: Time) {
        let Some(worker) = self.workers.get(agent) else { return };
        let tasks: Vec<Task> = worker.placed.keys().copied().collect();
        if tasks.is_empty() {
            return;
        }
        let reborn = worker.synced
            && !worker.vacant
            && worker.profile.as_ref().is_some_and(|p| p.status != Status::Empty)
            && !worker.empty_at.passed(now);
        self.events.push(Event::Lost { agent: agent.clone(), reason, runs: tasks.len() });
        for task in tasks {
            let row = self.task_state(&task);
            match row.map(|row| row.phase.clone()) {
                Some(Phase::Starting { .. }) if reborn => {
                    self.stop_run(task, "its start may still be carried out");
                }
                Some(Phase::Stopping { run, .. }) if reborn => {
                    self.order_stop(agent, task, run, "its start may still be carried out");
                }
                _ => self.release_task(task, now, now),
            }
        }
    }

    fn apply_end(&mut self, agent: &Name, end: End, now: Time) {
        let Some(worker) = self.workers.get_mut(agent) else { return };
        if end.number <= worker.recorded || worker.ends.contains_key(&end.number) {
            return;
        }
        worker.ends.insert(end.number, None);
        let End { task, run, reason: how, .. } = end;
        self.events.push(Event::End { task, run, agent: agent.clone(), reason: how });
        self.mark_started(task.job, now);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(number) = job.position(&task) else { return };
        let lasting = job.step(&task).long_running;
        let attempts = job.queue.attempts.max(1) as usize;
        let row = &mut job.tasks[number];
        row.last_run = row.last_run.max(run);
        let current = row.is_current(agent, run);
        if row.phase != Phase::Done && end.checkpoint.is_some() {
            row.checkpoint = end.checkpoint;
        }
        match how {
            ExitReason::Done if !lasting => {
                // One member's end represents all of its gang.
                for member in self.gang_members(task) {
                    self.finish_task(agent, member, run, now);
                }
            }
            ExitReason::Failed => {
                let again = row.failed.contains(&run);
                if !again && !lasting {
                    row.failed.push(run);
                }
                row.failed_at = Some(agent.clone());
                row.misses = row.misses.saturating_add(1);
                let misses = row.misses;
                let exhausted = !lasting && self.failures(task) >= attempts;
                if current {
                    let retry = if lasting { self.backoff(misses, now) } else { now };
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
                if matches!(how, ExitReason::Done | ExitReason::Stopped | ExitReason::Lapsed) {
                    self.mark_changed(task.job, now);
                }
            }
        }
        let unrecorded = self.jobs.get(&task.job).filter(|job| job.recorded < job.version);
        let needs = unrecorded.map(|job| (job.id, job.version));
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.ends.insert(end.number, needs);
        }
    }

    /// The members of the gang of `task`; a task that is in no gang stands for itself.
    fn gang_members(&self, task: Task) -> Vec<Task> {
        let Some(job) = self.jobs.get(&task.job) else { return Vec::new() };
        if !job.step(&task).gang {
            return vec![task];
        }
        let range = job.range(task.occurrence, usize::from(task.step));
        range.map(|number| job.task(number)).collect()
    }

    /// How often `task`, or its gang, has failed.
    fn failures(&self, task: Task) -> usize {
        let Some(job) = self.jobs.get(&task.job) else { return 0 };
        let members =
            self.gang_members(task).into_iter().filter_map(|member| job.position(&member));
        let runs = members.flat_map(|number| job.tasks[number].failed.iter().copied());
        runs.collect::<BTreeSet<u32>>().len()
    }

    /// The work of `task` is done, by whichever run; `run` at `agent` has ended.
    fn finish_task(&mut self, agent: &Name, task: Task, run: u32, now: Time) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(number) = job.position(&task) else { return };
        let gang = job.step(&task).gang;
        if job.tasks[number].phase == Phase::Done {
            return;
        }
        let other = job.tasks[number].current().map(|(other, run)| (other.clone(), run));
        if let Some((other, number)) = other {
            if let Some(worker) = self.workers.get_mut(&other) {
                worker.placed.remove(&task);
            }
            let ended = number == run && (gang || other == *agent);
            if !ended {
                self.order_stop(&other, task, number, "another run has done its work");
            }
        }
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.failing_jobs.clear();
            worker.ejections = 0;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let row = &mut job.tasks[number];
        row.phase = Phase::Done;
        row.checkpoint = None;
        job.count_done(&task);
        let done = job.is_done();
        self.mark_changed(task.job, now);
        if done {
            self.end_job(task.job, State::Completed, "every task is done", now);
        }
        self.mark_ready(task, now);
    }

    /// Notes when the steps that waited for that of `task` opened.
    fn mark_ready(&mut self, task: Task, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        for step in 0..job.spec.steps.len() {
            let follows = job.spec.steps[step].after.contains(&task.step);
            if follows && job.is_open(task.occurrence, step) {
                let range = job.range(task.occurrence, step);
                for row in &mut job.tasks[range] {
                    row.ready_since = now;
                }
            }
        }
    }

    /// Sets a worker aside on which the tasks of several jobs failed, one after the other.
    fn eject_if_failing(&mut self, agent: &Name, task: Task, now: Time) {
        let workers = self.workers.len();
        let aside =
            self.workers.values().filter(|worker| !worker.ejected_until.passed(now)).count();
        let Some(worker) = self.workers.get_mut(agent) else { return };
        worker.failing_jobs.insert(task.job);
        let failures = u32::try_from(worker.failing_jobs.len()).unwrap_or(u32::MAX);
        // With a third of the workers aside, the fault is elsewhere.
        if failures < self.settings.ejection_failures || aside * 3 >= workers {
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
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(number) = job.position(&task) else { return };
        let row = &mut job.tasks[number];
        if !row.is_current(agent, run) {
            return;
        }
        if outcome != Outcome::Started {
            self.events.push(Event::Answer { task, run, agent: agent.clone(), outcome });
        }
        match (&row.phase, outcome) {
            (Phase::Starting { .. }, Outcome::Started) => {
                row.phase = Phase::Running { agent: agent.clone(), run };
                row.stalls_at = now.after(self.settings.stall_timeout);
                row.misses = 0;
                self.mark_started(task.job, now);
            }
            (_, Outcome::Started) => {}
            (Phase::Starting { .. }, Outcome::Old) => {
                // Whether it has run and ended shows when the stop is answered.
                self.stop_run(task, "the worker knows the run or a later one");
            }
            (Phase::Stopping { .. }, outcome) if outcome != Outcome::Absent => {}
            (_, outcome) => {
                row.misses = row.misses.saturating_add(1);
                let misses = row.misses;
                let retry = match outcome {
                    Outcome::Absent => now,
                    _ => self.backoff(misses, now),
                };
                self.release_task(task, now, retry);
                if matches!(outcome, Outcome::NoRoom | Outcome::Unhealthy | Outcome::NotReady) {
                    let full = now.after(self.settings.retry_pause.saturating_mul(4));
                    if let Some(worker) = self.workers.get_mut(agent) {
                        worker.full_until = full;
                    }
                }
            }
        }
    }

    fn apply_running(&mut self, agent: &Name, running: &[Run], complete: bool, now: Time) {
        for run in running {
            self.apply_run(agent, run, now);
        }
        let Some(worker) = self.workers.get_mut(agent) else { return };
        if !complete || worker.synced {
            return;
        }
        worker.synced = true;
        let listed: BTreeSet<Task> = running.iter().map(|run| run.task).collect();
        let placed: Vec<Task> = worker.placed.keys().copied().collect();
        for task in placed {
            match self.task_state(&task).map(|row| row.phase.clone()) {
                // The agent's former process may have received the order and not carried it out.
                Some(Phase::Stopping { run, .. }) => {
                    self.order_stop(agent, task, run, "its agent started again");
                }
                _ if listed.contains(&task) => {}
                Some(Phase::Starting { .. }) => self.stop_run(task, "its agent started again"),
                _ => self.release_task(task, now, now),
            }
        }
        self.missing.remove(agent);
        self.settle_uncertain(now);
    }

    /// Takes one run of a worker's list in.
    fn apply_run(&mut self, agent: &Name, run: &Run, now: Time) {
        let Run { task, run: number, .. } = *run;
        let stall = self.settings.stall_timeout;
        let known = self.jobs.get_mut(&task.job).filter(|job| job.ended.is_none());
        let Some(job) = known else {
            return self.stop_unknown(agent, task, number, "its job has ended or is not known");
        };
        let Some(place) = job.position(&task) else {
            return self.stop_unknown(agent, task, number, "its job has no such task");
        };
        let row = &mut job.tasks[place];
        row.last_run = row.last_run.max(number);
        match &row.phase {
            Phase::Uncertain => {
                row.phase = Phase::Running { agent: agent.clone(), run: number };
                row.stalls_at = now.after(stall);
                self.mark_started(task.job, now);
                self.occupy(agent, task);
                self.events.push(Event::Adopted { task, run: number, agent: agent.clone() });
            }
            _ if !row.is_current(agent, number) => {
                return self.stop_unknown(agent, task, number, "another run goes on or is done");
            }
            Phase::Starting { .. } => {
                row.phase = Phase::Running { agent: agent.clone(), run: number };
                row.stalls_at = now.after(stall);
                self.mark_started(task.job, now);
            }
            _ => {}
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let row = &mut job.tasks[place];
        // A run that is slowed down on purpose does not stall.
        if run.percent != row.percent || run.pace < 100 {
            row.percent = run.percent;
            row.stalls_at = now.after(stall);
        }
        if run.checkpoint.is_some() {
            row.checkpoint.clone_from(&run.checkpoint);
        }
        if let Some(placed) =
            self.workers.get_mut(agent).and_then(|worker| worker.placed.get_mut(&task))
        {
            placed.measurement = run.measurement;
            placed.pace = run.pace;
        }
    }

    fn stop_unknown(&mut self, agent: &Name, task: Task, run: u32, reason: &'static str) {
        let Some(worker) = self.workers.get(agent) else { return };
        let stop = |order: &super::message::Order| {
            order.task == task && order.run == run && order.kind == Kind::Stop
        };
        let row = self.task_state(&task);
        let stopping = row.is_some_and(|row| {
            matches!(row.phase, Phase::Stopping { .. }) && row.is_current(agent, run)
        });
        if !stopping && !worker.outbox.iter().any(stop) {
            self.order_stop(agent, task, run, reason);
        }
    }

    /// Moves the watermark up to which the worker may forget its ends.
    pub(super) fn advance_recorded(&mut self, agent: &Name) {
        let Self { workers, jobs, .. } = self;
        let Some(Worker { ends, recorded, .. }) = workers.get_mut(agent) else { return };
        while let Some((number, needs)) = ends.first_key_value() {
            let kept = needs.is_none_or(|(id, version)| {
                jobs.get(&id).is_none_or(|job| job.recorded >= version)
            });
            if !kept {
                break;
            }
            *recorded = *number;
            ends.pop_first();
        }
    }

    /// The number of the next run of a task whose last one was `last`.
    pub(super) fn next_run(&self, last: u32) -> u32 {
        let base = self.epoch.saturating_sub(1).saturating_mul(RUNS_PER_EPOCH);
        let base = u32::try_from(base).unwrap_or(u32::MAX - 1);
        last.max(base) + 1
    }
}
