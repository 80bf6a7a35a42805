use super::{Order, Run};
use shallotflow_core::graph::{Id, State, Task};
use shallotflow_standin::runs::{Event, Transition};
use std::collections::{BTreeMap, BTreeSet};

/// Transition callers were told and what workers did.
#[derive(Debug, Default)]
pub struct Book {
    /// The jobs that were handed in.
    pub orders: BTreeMap<Id, Order>,
    /// The runs of every task.
    pub runs: BTreeMap<Task, Vec<Run>>,
    /// Runs that go on, by worker.
    open: BTreeMap<usize, BTreeSet<(Task, u32)>>,
    /// Transition callers were told that cannot be.
    pub untrue: Vec<String>,
}

impl Book {
    /// Takes in what happened at a worker.
    pub fn hear(&mut self, worker: usize, fact: &Event) {
        let (task, number) = (fact.task, fact.run);
        let runs = self.runs.entry(task).or_default();
        match fact.transition {
            Transition::Started => {
                let started = fact.unix_us;
                runs.push(Run { worker, number, started, ended: None, confirmed: false });
                self.open.entry(worker).or_default().insert((task, number));
            }
            Transition::Ended(_) => {
                let open = |run: &&mut Run| run.worker == worker && run.number == number;
                if let Some(run) = runs.iter_mut().rev().find(open) {
                    run.ended = Some((fact.unix_us, Some(fact.transition)));
                }
                self.open.entry(worker).or_default().remove(&(task, number));
            }
            Transition::Confirmed(_) => {
                let own = |run: &&mut Run| run.worker == worker && run.number == number;
                if let Some(run) = runs.iter_mut().rev().find(own) {
                    run.confirmed = true;
                }
            }
        }
    }

    /// A worker ended at `at`, and with it all that it ran.
    pub fn lose(&mut self, worker: usize, at: u64) {
        for (task, number) in self.open.remove(&worker).unwrap_or_default() {
            let Some(runs) = self.runs.get_mut(&task) else { continue };
            let own = |run: &&mut Run| run.worker == worker && run.number == number;
            if let Some(run) = runs.iter_mut().rev().find(own) {
                run.ended.get_or_insert((at, None));
            }
        }
    }

    /// Whether something of `job` runs.
    pub fn is_running(&self, job: Id) -> bool {
        self.open.values().flatten().any(|(task, _)| task.job == job)
    }

    /// Notes the state that a caller was shown of a job; `before` is what had been shown when it
    /// asked. Questions that are under way at the same time may be answered in either order.
    pub fn show(&mut self, id: Id, before: Option<State>, state: Option<State>) {
        let Some(order) = self.orders.get_mut(&id) else { return };
        match (before, state) {
            (_, None) => {
                self.untrue.push(format!("accepted job {id} is not known"));
            }
            (Some(before), Some(now)) if before.is_final() && now != before => {
                self.untrue.push(format!("job {id} was {before:?} and is {now:?}"));
            }
            (_, Some(State::Cancelled)) if !order.cancel_sent => {
                self.untrue.push(format!("job {id} is cancelled, and nobody cancelled it"));
            }
            (Some(State::Running), Some(State::Queued)) => {
                self.untrue.push(format!("job {id} has begun and is queued again"));
            }
            _ => {}
        }
        let rank = |state: State| (state.is_final(), state == State::Running);
        if let Some(state) = state
            && order.shown.is_none_or(|shown| rank(shown) <= rank(state))
        {
            order.shown = Some(state);
        }
    }
}
