//! Submits and cancels jobs.

use super::{Cancellation, Entry, Submission, keys, membership, stored};
use crate::peers::{Request, Response};
use shallotflow_core::graph::{Id, Job};
use shallotflow_core::time::Clock;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::transaction::Transaction;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time without an answer of the store after which no new jobs are sent to it, in milliseconds;
/// three renewals of the entry's presence.
const MAX_STORE_AGE_MS: u64 = 1_200;
/// Delay before a refused caller may retry, in milliseconds; the store's usual outages last
/// seconds.
const RETRY_MS: u64 = 1_000;

/// Why a job was not stored.
enum Stored {
    /// It is stored already, or that cannot be known.
    Decided(Submission),
    /// It is not stored, and the owner's record has another revision than the expected one.
    Absent {
        /// That revision, 0 if there is no record.
        owner_revision: i64,
    },
}

impl Entry {
    /// Submits a job; the job is stored before the caller gets an answer.
    pub async fn submit(self: &Rc<Self>, id: Id, job: Job) -> Submission {
        let started = Boottime.now();
        let stored = match self.too_large(&job) {
            Some(step) => Submission::TooLarge { step },
            None => match self.refuse(id, &job).await {
                Some(overloaded) => overloaded,
                None => {
                    self.begin_store(id);
                    self.store_job(id, &job).await
                }
            },
        };
        let submission = match stored {
            Submission::Refused { retry_ms } => {
                self.submit_via_peer(id, &job, Submission::Refused { retry_ms }).await
            }
            submission => submission,
        };
        self.end_store(id, submission);
        let details = serde_json::json!({
            "job": id.to_string(), "queue": &*job.queue.name, "outcome": submission,
            "store_age_ms": self.store_age_ms(),
        });
        crate::log::decision("submit", &details);
        super::meters::submitted(submission, Boottime.now().since(started));
        submission
    }

    /// Stores a job unless it is already stored, and notifies the owner of it.
    ///
    /// The record names the claim of the owner at that time, which the store compares: whoever is the owner takes
    /// the job for new only if it was stored under its own claim.
    pub(super) async fn store_job(self: &Rc<Self>, id: Id, job: &Job) -> Submission {
        let refused = Submission::Refused { retry_ms: RETRY_MS };
        let mut claim = self.view.borrow().owner_revision;
        if self.store_age_ms() > MAX_STORE_AGE_MS {
            // Nothing is sent, so the job is certainly not stored; the renewal of the entry's
            // presence probes the store.
            return refused;
        }
        let deadline = Boottime.now().after(self.settings.submit_limit);
        let mut unknown = false;
        loop {
            let value = match stored::Job::encode(job, claim) {
                Ok(value) => value,
                Err(error) => {
                    spdlog::error!("job not packed", kv: { reason = error.to_string() });
                    return refused;
                }
            };
            let key = keys::job(id);
            let transaction = Transaction::default()
                .created_by(&*key, 0)
                .written_by(keys::OWNER, claim)
                .put(&*key, value);
            match self.commit(transaction).await {
                Ok(_) => {
                    self.notify_owner(id, job.clone(), claim);
                    return Submission::Accepted;
                }
                Err(Error::NotApplied { .. }) => match self.check_stored_job(id, job).await {
                    Stored::Decided(submission) => return submission,
                    Stored::Absent { owner_revision } => {
                        claim = owner_revision;
                        if !deadline.passed(Boottime.now()) {
                            continue;
                        }
                    }
                },
                Err(error) => {
                    unknown |= error.may_be_applied();
                    let lost = error.may_be_applied();
                    spdlog::debug!("job not stored", kv: { reason = error.to_string(), lost });
                    // Another entry may reach the store; a job that may be stored stays with this
                    // entry.
                    if !unknown && self.store_age_ms() > MAX_STORE_AGE_MS {
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

    /// Finds out why a job was not stored: an identifier may be stored already, and counts as the same job if its
    /// queue is the same, or the owner's record has changed.
    async fn check_stored_job(&self, id: Id, job: &Job) -> Stored {
        let key = keys::job(id);
        let (stored, owner) = futures_util::join!(
            self.store_call(self.store.get(&key)),
            self.store_call(self.store.get(keys::OWNER))
        );
        let (Ok(stored), Ok(owner)) = (stored, owner) else {
            return Stored::Decided(Submission::Unknown);
        };
        let Some(stored) = stored else {
            if let Some(pair) = &owner {
                membership::apply_owner(self, pair);
            }
            return Stored::Absent { owner_revision: owner.map_or(0, |pair| pair.mod_revision) };
        };
        let same = stored::Job::decode(&stored)
            .is_ok_and(|stored| stored.job.queue.name == job.queue.name);
        Stored::Decided(if same { Submission::Accepted } else { Submission::Unknown })
    }

    /// Asks the other entries to store the job when the store refuses this entry.
    async fn submit_via_peer(&self, id: Id, job: &Job, refused: Submission) -> Submission {
        for address in self.others() {
            let request = Request::Submit { id, job: job.clone() };
            match self.client(address).ask(&request, self.settings.submit_limit).await {
                Ok(Response::Submitted(Submission::Refused { .. })) => {}
                Ok(Response::Submitted(submission)) => return submission,
                Ok(_) => {}
                Err(error) => {
                    spdlog::debug!("not stored elsewhere", kv: { reason = error.to_string() });
                    // The other entry may have stored the job before its answer was lost.
                    return Submission::Unknown;
                }
            }
        }
        refused
    }

    /// Notifies the owner of a stored job before its watch delivers the job.
    fn notify_owner(self: &Rc<Self>, id: Id, job: Job, claim: i64) {
        if self.accept_stored(id, job.clone(), claim) {
            return;
        }
        let Some(owner) = self.owner_client() else { return };
        let entry = self.clone();
        monoio::spawn(async move {
            let request = Request::JobStored { id, job, claim };
            if let Err(error) = owner.ask(&request, entry.settings.ask_limit).await {
                spdlog::debug!("offer lost", kv: { reason = error.to_string() });
            }
        });
    }

    /// Adds a job that was stored under `claim` to the table; returns `false` if this entry is no owner, or was
    /// replaced before that: the watch checks that, and a successor starts the job.
    pub(super) fn accept_stored(&self, id: Id, job: Job, claim: i64) -> bool {
        let mut ownership = self.ownership.borrow_mut();
        let Some(ownership) = ownership.as_mut().filter(|owned| claim <= owned.revision) else {
            return false;
        };
        if ownership.table.accept(id, job, claim == ownership.revision, Boottime.now()) {
            let details = serde_json::json!({ "job": id.to_string(), "by": "entry" });
            crate::log::decision("job heard", &details);
        }
        self.decision_due.notify(usize::MAX);
        true
    }

    /// Cancels a job; the cancel is stored before the caller gets an answer.
    pub async fn cancel(self: &Rc<Self>, queue: &str, id: Id) -> Cancellation {
        let mut outcome = self.store_cancel(queue, id).await;
        if outcome == Cancellation::Unknown {
            outcome = self.cancel_via_peer(queue, id).await;
        }
        let details = serde_json::json!({ "job": id.to_string(), "outcome": outcome });
        crate::log::decision("cancel", &details);
        if outcome == Cancellation::Cancelled {
            self.notify_owner_of_cancel(id).await;
        }
        outcome
    }

    /// Notifies the owner of a stored cancel before its watch delivers the cancel.
    pub(super) async fn notify_owner_of_cancel(&self, id: Id) {
        if !self.apply_cancel(id)
            && let Some(owner) = self.owner_client()
        {
            let request = Request::CancelStored { id };
            if let Err(error) = owner.ask(&request, self.settings.ask_limit).await {
                // The owner's watch delivers the cancel later.
                spdlog::debug!("cancel not told", kv: { reason = error.to_string() });
            }
        }
    }

    async fn cancel_via_peer(&self, queue: &str, id: Id) -> Cancellation {
        let addresses: Vec<SocketAddr> = self.others();
        for address in addresses {
            let request = Request::Withdraw { queue: queue.into(), id };
            match self.client(address).ask(&request, self.settings.submit_limit).await {
                Ok(Response::Withdrawn(Some(true))) => return Cancellation::Cancelled,
                Ok(Response::Withdrawn(Some(false))) => return Cancellation::Absent,
                Ok(_) => {}
                Err(error) => {
                    spdlog::debug!("not cancelled elsewhere", kv: { reason = error.to_string() });
                }
            }
        }
        Cancellation::Unknown
    }

    /// Stores the cancel of a stored job.
    pub(super) async fn store_cancel(&self, queue: &str, id: Id) -> Cancellation {
        let deadline = Boottime.now().after(self.settings.submit_limit);
        let visible = self
            .ownership
            .borrow()
            .as_ref()
            .and_then(|ownership| ownership.table.visible_state(queue, id));
        let mut exists = visible.is_some();
        loop {
            if !exists {
                let pair = self.store_call(self.store.get(&keys::job(id))).await;
                match pair {
                    Ok(Some(pair)) => {
                        let stored = stored::Job::decode(&pair);
                        if !stored.is_ok_and(|stored| &*stored.job.queue.name == queue) {
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
            let store_unreachable = self.store_age_ms() > MAX_STORE_AGE_MS;
            if store_unreachable || deadline.passed(Boottime.now()) {
                return Cancellation::Unknown;
            }
            monoio::time::sleep(self.settings.store_pause).await;
        }
    }

    /// Applies a stored cancel to the table; returns `false` if this entry is not the owner.
    pub(super) fn apply_cancel(&self, id: Id) -> bool {
        let mut ownership = self.ownership.borrow_mut();
        let Some(ownership) = ownership.as_mut() else { return false };
        ownership.table.cancel(id, Boottime.now());
        self.decision_due.notify(usize::MAX);
        true
    }
}
