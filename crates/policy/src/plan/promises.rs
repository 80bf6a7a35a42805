//! Delays of refused jobs, spread so that their callers return one after the other.

use super::{Backlog, Settings};
use shallotflow_core::graph::{self, Id};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Milliseconds in a second, the resolution of the delays.
const MS_PER_S: u64 = 1_000;

/// A refused job that is accepted if its caller returns in time.
#[derive(Clone, Debug, PartialEq)]
struct Promise {
    /// From when on the job is accepted.
    from: Time,
    /// Until when its place is kept.
    until: Time,
    queue: (Name, u32, Name),
    /// Expected work, processor-milliseconds.
    work: u64,
}

/// The refused jobs whose callers may return, at one entry.
///
/// The work of a refused job counts as backlog for newcomers until its caller has returned or its
/// place is given up, so each refusal gets a later time than the one before, and callers that return
/// in time go before newcomers.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    by_job: BTreeMap<Id, Promise>,
    by_end: BTreeSet<(Time, Id)>,
    /// Promised work by service, priority and queue, processor-milliseconds.
    sums: BTreeMap<(Name, u32, Name), u64>,
}

impl Promises {
    /// Returns the delay in milliseconds after which a caller may return with `job` that is refused
    /// at `now`, in whole seconds; `None` if the job is accepted. `entries` is the number of entries,
    /// each of which is assumed to refuse as many.
    pub fn refuse(
        &mut self,
        backlog: &Backlog,
        id: Id,
        job: &graph::Job,
        entries: u64,
        settings: &Settings,
        now: Time,
    ) -> Option<u64> {
        self.expire(now);
        if let Some(promise) = self.by_job.get(&id) {
            if !promise.from.passed(now) {
                return Some(whole_seconds(promise.from.remaining(now)));
            }
            self.remove(id);
            return None;
        }
        let key = (job.queue.service.clone(), job.queue.priority, job.queue.name.clone());
        let excess = self.excess(backlog, job, entries, settings)?;
        let retry_ms = whole_seconds(excess.min(settings.max_refusal_delay));
        let from = now.after(Duration::from_millis(retry_ms)).before(settings.early_return);
        let until = now.after(Duration::from_millis(retry_ms)).after(settings.promise_grace);
        let work = backlog.work(job, settings);
        *self.sums.entry(key.clone()).or_default() += work;
        self.by_end.insert((until, id));
        self.by_job.insert(id, Promise { from, until, queue: key, work });
        Some(retry_ms)
    }

    /// Returns whether [`refuse`](Self::refuse) would refuse `job`, without a promise to its caller.
    pub fn would_refuse(
        &mut self,
        backlog: &Backlog,
        id: Id,
        job: &graph::Job,
        entries: u64,
        settings: &Settings,
        now: Time,
    ) -> bool {
        self.expire(now);
        if let Some(promise) = self.by_job.get(&id) {
            return !promise.from.passed(now);
        }
        self.excess(backlog, job, entries, settings).is_some()
    }

    /// Returns by how much `job` would exceed three objectives behind the promised jobs.
    fn excess(
        &self,
        backlog: &Backlog,
        job: &graph::Job,
        entries: u64,
        settings: &Settings,
    ) -> Option<Duration> {
        let key = (job.queue.service.clone(), job.queue.priority, job.queue.name.clone());
        let promised = self.sums.get(&key).copied().unwrap_or(0);
        backlog.excess(job, promised.saturating_mul(entries.max(1)), settings)
    }

    fn expire(&mut self, now: Time) {
        while let Some((_, id)) = self.by_end.first().filter(|(until, _)| until.passed(now)) {
            self.remove(*id);
        }
    }

    fn remove(&mut self, id: Id) {
        let Some(promise) = self.by_job.remove(&id) else { return };
        self.by_end.remove(&(promise.until, id));
        if let Some(sum) = self.sums.get_mut(&promise.queue) {
            *sum -= promise.work;
            if *sum == 0 {
                self.sums.remove(&promise.queue);
            }
        }
    }
}

fn whole_seconds(span: Duration) -> u64 {
    let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    ms.div_ceil(MS_PER_S).max(1).saturating_mul(MS_PER_S)
}
