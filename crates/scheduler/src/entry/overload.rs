//! Refusal of jobs that could not end in time, by the backlog that the owner advertises.

use super::{Entry, Submission, keys};
use shallotflow_core::graph::{Id, Job};
use shallotflow_core::time::{Clock, Time};
use shallotflow_policy::plan::{self, Backlog, Promises};
use shallotflow_runtime::clock::Boottime;
use std::collections::BTreeMap;
use std::time::Duration;

/// What an entry knows of the overload.
#[derive(Default)]
pub(super) struct Overload {
    settings: plan::Settings,
    backlog: Backlog,
    /// Until when `backlog` is valid.
    valid_until: Time,
    promises: Promises,
    /// Jobs that this entry may have stored or may yet store, and until when: such a job is not
    /// refused, although the store does not show it.
    unsettled: BTreeMap<Id, Time>,
}

impl Overload {
    /// Returns whether the job `id` may be stored by a former call.
    fn is_unsettled(&mut self, id: Id, now: Time) -> bool {
        self.unsettled.retain(|_, until| !until.passed(now));
        self.unsettled.contains_key(&id)
    }
}

impl Entry {
    /// Applies a backlog that a peer has advertised; that of an earlier owner has no effect.
    pub(super) fn observe_backlog(&self, backlog: Backlog) {
        let mut overload = self.overload.borrow_mut();
        let known = (overload.backlog.epoch, overload.backlog.version);
        if backlog.valid_ms > 0 && (backlog.epoch, backlog.version) >= known {
            let valid = Duration::from_millis(backlog.valid_ms);
            overload.valid_until = Boottime.now().after(valid);
            overload.backlog = backlog;
        }
    }

    /// Returns the refusal of a job that could not end in time beside the accepted ones. A job that
    /// the store holds, or may hold, is not refused; nor is any while no backlog is known or the
    /// store does not answer in time.
    pub(super) async fn refuse(&self, id: Id, job: &Job) -> Option<Submission> {
        if !self.is_overloaded(id, job) {
            return None;
        }
        let key = keys::job(id);
        let stored = self.store_call(self.store.get(&key));
        match monoio::time::timeout(self.settings.refusal_limit, stored).await {
            Ok(Ok(None)) => {}
            _ => return None,
        }
        let now = Boottime.now();
        let entries = u64::try_from(self.view.borrow().entries.len()).unwrap_or(u64::MAX);
        let mut overload = self.overload.borrow_mut();
        if overload.is_unsettled(id, now) {
            return None;
        }
        let Overload { settings, backlog, promises, .. } = &mut *overload;
        let retry_ms = promises.refuse(backlog, id, job, entries, settings, now)?;
        let details = serde_json::json!({
            "job": id.to_string(), "queue": &*job.queue.name, "retry_ms": retry_ms,
            "epoch": backlog.epoch, "version": backlog.version,
            "backlog_ms": backlog.longest_drain().as_millis(),
        });
        crate::log::decision("overloaded", &details);
        Some(Submission::Overloaded { retry_ms })
    }

    /// Returns whether a job would be refused unless the store holds it.
    fn is_overloaded(&self, id: Id, job: &Job) -> bool {
        if !self.overload.borrow().settings.refuses_jobs {
            return false;
        }
        let now = Boottime.now();
        if let Some(ownership) = &*self.ownership.borrow() {
            let backlog = ownership.table.advertisement();
            self.observe_backlog(backlog);
        }
        let mut overload = self.overload.borrow_mut();
        if overload.valid_until.passed(now) || overload.is_unsettled(id, now) {
            return false;
        }
        let entries = u64::try_from(self.view.borrow().entries.len()).unwrap_or(u64::MAX);
        let Overload { settings, backlog, promises, .. } = &mut *overload;
        promises.would_refuse(backlog, id, job, entries, settings, now)
    }

    /// Marks a job as one that this entry may store from now on; only a refusal asks for that.
    pub(super) fn begin_store(&self, id: Id) {
        let mut overload = self.overload.borrow_mut();
        if overload.settings.refuses_jobs {
            let now = Boottime.now();
            overload.unsettled.retain(|_, until| !until.passed(now));
            overload.unsettled.insert(id, now.after(self.settings.unsettled_limit));
        }
    }

    /// Marks a job as certainly stored or certainly not stored, unless that is unknown.
    pub(super) fn end_store(&self, id: Id, submission: Submission) {
        if submission != Submission::Unknown {
            self.overload.borrow_mut().unsettled.remove(&id);
        }
    }
}
