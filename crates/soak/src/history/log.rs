use super::{Evacuation, Job, Run};
use shallotflow_core::graph::{Id, State, Task};
use shallotflow_standin::runs::{Event, Transition};
use std::collections::{BTreeMap, BTreeSet};

/// The responses that callers received and the runs at the workers.
#[derive(Debug, Default)]
pub struct History {
    /// The submitted jobs.
    pub jobs: BTreeMap<Id, Job>,
    /// The runs of every task.
    pub runs: BTreeMap<Task, Vec<Run>>,
    /// The evacuations that the store confirmed.
    pub evacuations: Vec<Evacuation>,
    /// Runs in progress, by worker.
    active: BTreeMap<usize, BTreeSet<(Task, u32)>>,
    /// Descriptions of contradictory responses.
    pub contradictions: Vec<String>,
}

impl History {
    /// Applies an event of a worker.
    pub fn apply_event(&mut self, worker: usize, event: &Event) {
        let (task, number) = (event.task, event.run);
        let runs = self.runs.entry(task).or_default();
        match event.transition {
            Transition::Started => {
                let started = event.unix_us;
                runs.push(Run { worker, number, started, ended: None, confirmed: false });
                self.active.entry(worker).or_default().insert((task, number));
            }
            Transition::Ended(_) => {
                let same_run = |run: &&mut Run| run.worker == worker && run.number == number;
                if let Some(run) = runs.iter_mut().rev().find(same_run) {
                    run.ended = Some((event.unix_us, Some(event.transition)));
                }
                self.active.entry(worker).or_default().remove(&(task, number));
            }
            Transition::Confirmed(_) => {
                let same_run = |run: &&mut Run| run.worker == worker && run.number == number;
                if let Some(run) = runs.iter_mut().rev().find(same_run) {
                    run.confirmed = true;
                }
            }
        }
    }

    /// Records that a worker ended at `at`, and with it all of its runs.
    pub fn record_worker_exit(&mut self, worker: usize, at: u64) {
        for (task, number) in self.active.remove(&worker).unwrap_or_default() {
            let Some(runs) = self.runs.get_mut(&task) else { continue };
            let same_run = |run: &&mut Run| run.worker == worker && run.number == number;
            if let Some(run) = runs.iter_mut().rev().find(same_run) {
                run.ended.get_or_insert((at, None));
            }
        }
    }

    /// Whether a task of `job` is running.
    pub fn is_running(&self, job: Id) -> bool {
        self.active.values().flatten().any(|(task, _)| task.job == job)
    }

    /// Whether each task of the accepted `job` is where it belongs at the end: at exactly one worker if
    /// the job is lasting, at none and with an ended job otherwise.
    pub fn is_settled(&self, id: Id, job: &Job) -> bool {
        if !job.lasting {
            return job.last_state.is_some_and(State::is_final) && !self.is_running(id);
        }
        let running = self.active.values().flatten().map(|(task, _)| task);
        let mut running: Vec<&Task> = running.filter(|task| task.job == id).collect();
        let tasks: u32 = job.spec.steps.iter().map(|step| step.count).sum();
        let runs = running.len();
        running.sort_unstable();
        running.dedup();
        runs == running.len() && runs == tasks as usize
    }

    /// Records the state of a job that a response reported; `None` means that the job is unknown.
    ///
    /// `before` is the state that was known when the query was sent. The response is compared with
    /// it rather than with the latest state because concurrent queries are answered in any order.
    pub fn record_state(&mut self, id: Id, before: Option<State>, state: Option<State>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match (before, state) {
            (_, None) => {
                self.contradictions.push(format!("accepted job {id} is not known"));
            }
            (Some(before), Some(now)) if before.is_final() && now != before => {
                self.contradictions.push(format!("job {id} was {before:?} and is {now:?}"));
            }
            (_, Some(State::Cancelled)) if !job.cancel_sent => {
                self.contradictions
                    .push(format!("job {id} is cancelled without a cancellation request"));
            }
            (Some(State::Running), Some(State::Queued)) => {
                self.contradictions.push(format!("job {id} has started and is queued again"));
            }
            _ => {}
        }
        let rank = |state: State| (state.is_final(), state == State::Running);
        if let Some(state) = state
            && job.last_state.is_none_or(|known| rank(known) <= rank(state))
        {
            job.last_state = Some(state);
        }
    }
}
