//! Callers' queries of jobs and queues.

use super::{Entry, keys, stored};
use crate::peers::{Request, Response, unpack};
use shallotflow_core::graph::{Id, State};
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::Progress;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use std::rc::Rc;

impl Entry {
    /// The visible state of a job; `None` when there is no such job.
    ///
    /// # Errors
    ///
    /// Fails when neither the owner nor the store answers.
    pub async fn state(self: &Rc<Self>, queue: &str, id: Id) -> Result<Option<State>, Error> {
        let state = self.latest_state(queue, id).await?;
        let shown = self.shown.borrow_mut().get(id, Boottime.now());
        match (state, shown) {
            // The owner has not heard of what this entry has shown from the store.
            (Some(state), Some(shown)) if !state.is_final() => {
                if shown == State::Cancelled {
                    self.notify_owner_of_cancel(id).await;
                }
                Ok(Some(shown))
            }
            (state, _) => Ok(state),
        }
    }

    async fn latest_state(&self, queue: &str, id: Id) -> Result<Option<State>, Error> {
        if let Some(ownership) = &*self.ownership.borrow()
            && let Some(state) = ownership.table.visible_state(queue, id)
        {
            return Ok(Some(state));
        }
        if let Some(owner) = self.owner_client() {
            let request = Request::State { queue: queue.into(), id };
            match owner.ask(&request, self.settings.ask_limit).await {
                Ok(Response::State(Some(state))) => return Ok(Some(state)),
                Ok(_) => {}
                Err(error) => {
                    spdlog::debug!("owner silent", kv: { reason = error.to_string() });
                }
            }
        }
        let state = self.stored_state(queue, id).await?;
        if let Some(state) = state.filter(|state| state.is_final()) {
            let first = self.shown.borrow_mut().insert(id, state, Boottime.now());
            if first && state == State::Cancelled {
                // Other entries show what the owner answers.
                self.notify_owner_of_cancel(id).await;
            }
        }
        Ok(state)
    }

    /// The state in the store, for a job that the owner does not know or when the owner does not
    /// answer.
    async fn stored_state(&self, queue: &str, id: Id) -> Result<Option<State>, Error> {
        let pair = self.store_call(self.store.get(&keys::job(id))).await;
        let Some(pair) = pair? else { return Ok(None) };
        let stored = stored::Job::decode(&pair);
        let job = stored.map_err(|error| Error::Rejected { reason: error.to_string() })?.job;
        if &*job.queue.name != queue {
            return Ok(None);
        }
        let progress = self.store_call(self.store.get(&keys::progress(id))).await;
        let progress = match progress? {
            Some(pair) => unpack::<Progress>(&pair.value)
                .map_err(|error| Error::Rejected { reason: error.to_string() })?,
            None => Progress::default(),
        };
        if progress.state.is_final() {
            return Ok(Some(progress.state));
        }
        let cancelled = self.store_call(self.store.get(&keys::cancel(id))).await;
        let cancelled = cancelled?.is_some();
        Ok(Some(if cancelled { State::Cancelled } else { progress.state }))
    }

    /// The number of jobs of `queue` that wait for their first task; `None` when no owner answers.
    pub async fn waiting(self: &Rc<Self>, queue: &str) -> Option<u64> {
        if let Some(ownership) = &*self.ownership.borrow() {
            return u64::try_from(ownership.table.waiting(queue)).ok();
        }
        let request = Request::Waiting { queue: queue.into() };
        match self.owner_client()?.ask(&request, self.settings.ask_limit).await {
            Ok(Response::Waiting(waiting)) => Some(waiting),
            Ok(_) => None,
            Err(error) => {
                spdlog::debug!("owner silent", kv: { reason = error.to_string() });
                None
            }
        }
    }
}
