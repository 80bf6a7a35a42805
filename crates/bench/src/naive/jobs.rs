//! Jobs of the naive scheduler, in memory.

use super::worker::{Task, Worker};
use foldhash::HashMap;
use shallotflow_core::task::Phase;
use std::cell::RefCell;
use std::rc::Rc;

/// The states of all jobs; clones share them.
#[derive(Clone, Default)]
pub(super) struct Jobs {
    states: Rc<RefCell<HashMap<String, &'static str>>>,
}

impl Jobs {
    /// Queues a job at a worker unless the key is already known.
    pub(super) fn submit(&self, key: &str, task: Task, worker: Worker) {
        let known = self.states.borrow_mut().insert(key.to_owned(), "queued");
        if let Some(state) = known {
            self.states.borrow_mut().insert(key.to_owned(), state);
            return;
        }
        let (key, jobs) = (key.to_owned(), self.clone());
        monoio::spawn(async move {
            let state = match worker.run(task).await {
                Some(Phase::Done) => "done",
                Some(_) => "failed",
                None => "unknown",
            };
            jobs.states.borrow_mut().insert(key, state);
        });
    }

    /// Returns the state of a job, if the key is known.
    pub(super) fn state(&self, key: &str) -> Option<&'static str> {
        self.states.borrow().get(key).copied()
    }
}
