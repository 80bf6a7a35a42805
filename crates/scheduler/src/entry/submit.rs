//! Jobs that are handed in and cancelled.

use super::{Cancellation, Entry, Submission, keys};
use crate::peers::{Answer, Question, pack, unpack};
use shallotflow_core::graph::{Id, Job};
use shallotflow_core::time::Clock;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::transaction::Transaction;
use std::net::SocketAddr;
use std::rc::Rc;

/// A store that did not answer for this long is not tried with new jobs; three renewals of the
/// entry's presence.
const STORE_GONE_MS: u64 = 1_200;
/// When a refused caller may come back, milliseconds; the store's usual outages last seconds.
const RETRY_MS: u64 = 1_000;

impl Entry {
    /// Accepts a job: it is stored before the caller hears of it.
    pub async fn submit(self: &Rc<Self>, id: Id, job: Job) -> Submission {
        let begun = Boottime.now();
        let stored = match self.too_large(&job) {
            Some(step) => Submission::TooLarge { step },
            None => self.store_job(id, &job).await,
        };
        let submission = match stored {
            Submission::Refused { retry_ms } => {
                self.submit_elsewhere(id, &job, Submission::Refused { retry_ms }).await
            }
            submission => submission,
        };
        let details = serde_json::json!({
            "job": id.to_string(), "queue": &*job.queue.name, "outcome": submission,
            "store_age_ms": self.store_age_ms(),
        });
        crate::log::decision("submit", &details);
        super::meters::submitted(submission, Boottime.now().since(begun));
        if submission == Submission::Accepted {
            self.offer(id, job);
        }
        submission
    }

    /// Stores a job if it is not stored yet.
    pub(super) async fn store_job(&self, id: Id, job: &Job) -> Submission {
        let refused = Submission::Refused { retry_ms: RETRY_MS };
        let value = match pack(job) {
            Ok(value) => value,
            Err(error) => {
                spdlog::error!("job not packed", kv: { reason = error.to_string() });
                return refused;
            }
        };
        if self.store_age_ms() > STORE_GONE_MS {
            // Nothing is sent, so that the refusal is true; the entry's presence probes the store.
            return refused;
        }
        let deadline = Boottime.now().after(self.settings.submit_limit);
        let mut unknown = false;
        loop {
            let key = keys::job(id);
            let transaction = Transaction::default().created_by(&*key, 0).put(&*key, value.clone());
            match self.commit(transaction).await {
                Ok(_) => return Submission::Accepted,
                Err(Error::NotApplied { .. }) => return self.known_job(id, job).await,
                Err(error) => {
                    unknown |= error.may_be_applied();
                    let lost = error.may_be_applied();
                    spdlog::debug!("job not stored", kv: { reason = error.to_string(), lost });
                    // Another entry may have more luck; what may be stored stays with this one.
                    if !unknown && self.store_age_ms() > STORE_GONE_MS {
                        return refused;
                    }
                }
            }
            if deadline.passed(Boottime.now()) {
                return if unknown { Submission::Unknown } else { refused };
            }
            monoio::time::sleep(self.settings.store_pause).await;
        }
    }

    /// A job with this identifier is stored; it is the same one if its queue is.
    async fn known_job(&self, id: Id, job: &Job) -> Submission {
        let pair = self.noted(self.store.get(&keys::job(id))).await;
        let stored = match pair {
            Ok(Some(pair)) => unpack::<Job>(&pair.value).ok(),
            Ok(None) => None,
            Err(_) => return Submission::Unknown,
        };
        if stored.is_some_and(|stored| stored.queue.name == job.queue.name) {
            return Submission::Accepted;
        }
        Submission::Unknown
    }

    /// Has another entry store the job, when the store refuses this one.
    async fn submit_elsewhere(&self, id: Id, job: &Job, refused: Submission) -> Submission {
        for address in self.others() {
            let question = Question::Submit { id, job: job.clone() };
            match self.client(address).ask(&question, self.settings.submit_limit).await {
                Ok(Answer::Submitted(Submission::Refused { .. })) => {}
                Ok(Answer::Submitted(submission)) => return submission,
                Ok(_) => {}
                Err(error) => {
                    spdlog::debug!("not stored elsewhere", kv: { reason = error.to_string() });
                    // The other entry may have stored it before its answer was lost.
                    return Submission::Unknown;
                }
            }
        }
        refused
    }

    /// Tells the owner of a job that the store holds; it would hear of it by its watch, later.
    fn offer(self: &Rc<Self>, id: Id, job: Job) {
        if self.take_offer(id, job.clone()) {
            return;
        }
        let Some(owner) = self.owner() else { return };
        let entry = self.clone();
        monoio::spawn(async move {
            let question = Question::Offer { id, job };
            if let Err(error) = owner.ask(&question, entry.settings.ask_limit).await {
                spdlog::debug!("offer lost", kv: { reason = error.to_string() });
            }
        });
    }

    /// Takes a job in that the store holds, if this entry is the owner.
    ///
    /// An owner that is not present may have a successor already, for which such a job is new; it
    /// leaves the job to the watch.
    pub(super) fn take_offer(&self, id: Id, job: Job) -> bool {
        let now = Boottime.now();
        let present = self.is_present(now);
        let mut reign = self.reign.borrow_mut();
        let Some(reign) = reign.as_mut().filter(|_| present) else { return false };
        if reign.table.accept(id, job, true, now) {
            let details = serde_json::json!({ "job": id.to_string(), "by": "entry" });
            crate::log::decision("job heard", &details);
        }
        self.wake.notify(usize::MAX);
        true
    }

    /// Cancels a job: the cancel is stored before the caller hears of it.
    pub async fn cancel(self: &Rc<Self>, queue: &str, id: Id) -> Cancellation {
        let mut outcome = self.store_cancel(queue, id).await;
        if outcome == Cancellation::Unknown {
            outcome = self.cancel_elsewhere(queue, id).await;
        }
        let details = serde_json::json!({ "job": id.to_string(), "outcome": outcome });
        crate::log::decision("cancel", &details);
        if outcome == Cancellation::Cancelled
            && !self.take_cancel(id)
            && let Some(owner) = self.owner()
        {
            let question = Question::Cancel { id };
            if let Err(error) = owner.ask(&question, self.settings.ask_limit).await {
                // The owner hears of it by its watch.
                spdlog::debug!("cancel not told", kv: { reason = error.to_string() });
            }
        }
        outcome
    }

    async fn cancel_elsewhere(&self, queue: &str, id: Id) -> Cancellation {
        let addresses: Vec<SocketAddr> = self.others();
        for address in addresses {
            let question = Question::Withdraw { queue: queue.into(), id };
            match self.client(address).ask(&question, self.settings.submit_limit).await {
                Ok(Answer::Withdrawn(Some(true))) => return Cancellation::Cancelled,
                Ok(Answer::Withdrawn(Some(false))) => return Cancellation::Absent,
                Ok(_) => {}
                Err(error) => {
                    spdlog::debug!("not cancelled elsewhere", kv: { reason = error.to_string() });
                }
            }
        }
        Cancellation::Unknown
    }

    /// Stores the cancel of a job that the store holds.
    pub(super) async fn store_cancel(&self, queue: &str, id: Id) -> Cancellation {
        let deadline = Boottime.now().after(self.settings.submit_limit);
        let known =
            self.reign.borrow().as_ref().and_then(|reign| reign.table.visible_state(queue, id));
        let mut exists = known.is_some();
        loop {
            if !exists {
                let pair = self.noted(self.store.get(&keys::job(id))).await;
                match pair {
                    Ok(Some(pair)) => {
                        let own = unpack::<Job>(&pair.value);
                        if !own.is_ok_and(|job| &*job.queue.name == queue) {
                            return Cancellation::Absent;
                        }
                        exists = true;
                    }
                    Ok(None) => return Cancellation::Absent,
                    Err(error) => {
                        spdlog::debug!("job not read", kv: { reason = error.to_string() });
                    }
                }
            }
            if exists {
                let transaction = Transaction::default().put(keys::cancel(id), b"1".as_slice());
                match self.commit(transaction).await {
                    Ok(_) => return Cancellation::Cancelled,
                    Err(error) => {
                        spdlog::debug!("cancel not stored", kv: { reason = error.to_string() });
                    }
                }
            }
            let hopeless = self.store_age_ms() > STORE_GONE_MS;
            if hopeless || deadline.passed(Boottime.now()) {
                return Cancellation::Unknown;
            }
            monoio::time::sleep(self.settings.store_pause).await;
        }
    }

    /// Applies a cancel that the store holds, if this entry is the owner.
    pub(super) fn take_cancel(&self, id: Id) -> bool {
        let mut reign = self.reign.borrow_mut();
        let Some(reign) = reign.as_mut() else { return false };
        reign.table.cancel(id, Boottime.now());
        self.wake.notify(usize::MAX);
        true
    }
}
