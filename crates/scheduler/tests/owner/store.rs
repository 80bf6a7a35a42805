//! A store in memory whose answers a test can withhold.

use async_trait::async_trait;
use event_listener::Event;
use shallotflow_store::error::{Error, Result};
use shallotflow_store::pair::Pair;
use shallotflow_store::store::{Snapshot, Store};
use shallotflow_store::transaction::{Compare, Transaction, Write};
use shallotflow_store::watch::{Change, Update, Watch};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is carried out and answered.
    Serve,
    /// It is never answered.
    Silent,
    /// It is carried out, and its answer is lost.
    LoseAnswer,
    /// Its answer is lost, and it is carried out when the test says so.
    Late,
}

/// A call as the test judges it.
pub(crate) enum Call<'a> {
    /// A read of one key or of many.
    Read,
    /// A change.
    Commit(&'a Transaction),
    /// A new lease, or the renewal of one.
    Lease,
}

type Judge = Box<dyn FnMut(&str, &Call<'_>) -> Verdict>;

/// What the store holds; shared by the handles of all entries.
#[derive(Default)]
pub(crate) struct Shared {
    pairs: RefCell<BTreeMap<String, Pair>>,
    log: RefCell<Vec<(i64, Change)>>,
    revision: Cell<i64>,
    leases: RefCell<BTreeSet<i64>>,
    granted: Cell<i64>,
    changed: Event,
    judge: RefCell<Option<Judge>>,
    late: RefCell<Vec<Transaction>>,
}

impl Shared {
    /// Judges every call from now on.
    pub(crate) fn judge(&self, judge: impl FnMut(&str, &Call<'_>) -> Verdict + 'static) {
        *self.judge.borrow_mut() = Some(Box::new(judge));
    }

    /// Serves every call from now on.
    pub(crate) fn serve(&self) {
        *self.judge.borrow_mut() = None;
    }

    /// Ends every lease.
    pub(crate) fn lapse(&self) {
        self.leases.borrow_mut().clear();
        let leased = |pair: &&Pair| pair.lease != 0;
        let keys: Vec<String> =
            self.pairs.borrow().values().filter(leased).map(|pair| pair.key.clone()).collect();
        for key in keys {
            self.begin();
            self.write(Write::Delete { key });
        }
    }

    /// The value of a key, as text.
    pub(crate) fn text(&self, key: &str) -> Option<String> {
        let pairs = self.pairs.borrow();
        Some(String::from_utf8_lossy(&pairs.get(key)?.value).into_owned())
    }

    /// Writes a key on behalf of nobody.
    pub(crate) fn put(&self, key: &str, value: &str, lease: i64) {
        self.begin();
        self.write(Write::Put { key: key.to_owned(), value: value.into(), lease });
    }

    /// Carries out what came late, and says how much of it still held.
    pub(crate) fn carry_late(&self) -> usize {
        let late = std::mem::take(&mut *self.late.borrow_mut());
        late.into_iter().filter(|transaction| self.apply(transaction.clone()).is_ok()).count()
    }

    pub(crate) fn waits_late(&self) -> usize {
        self.late.borrow().len()
    }

    /// Begins a change; all its writes have one revision.
    fn begin(&self) {
        self.revision.set(self.revision.get() + 1);
    }

    fn write(&self, write: Write) {
        let revision = self.revision.get();
        let change = match write {
            Write::Put { key, value, lease } => {
                let mut pairs = self.pairs.borrow_mut();
                let created = pairs.get(&key).map_or(revision, |pair| pair.create_revision);
                let pair = Pair {
                    key: key.clone(),
                    value,
                    create_revision: created,
                    mod_revision: revision,
                    lease,
                };
                pairs.insert(key, pair.clone());
                Change::Put(pair)
            }
            Write::Delete { key } => {
                self.pairs.borrow_mut().remove(&key);
                Change::Delete { key, revision }
            }
        };
        self.log.borrow_mut().push((revision, change));
        self.changed.notify(usize::MAX);
    }

    fn apply(&self, transaction: Transaction) -> Result<i64> {
        for compare in &transaction.compares {
            let (Compare::CreateRevision { key, revision }
            | Compare::ModRevision { key, revision }) = compare;
            let current = self.pairs.borrow().get(key).map_or(0, |pair| pair.mod_revision);
            if current != *revision {
                return Err(Error::NotApplied { key: key.clone() });
            }
        }
        for write in &transaction.writes {
            if let Write::Put { lease, .. } = write
                && *lease != 0
                && !self.leases.borrow().contains(lease)
            {
                return Err(Error::LeaseGone { id: *lease });
            }
        }
        self.begin();
        for write in transaction.writes {
            self.write(write);
        }
        Ok(self.revision.get())
    }
}

/// The store as one entry calls it.
pub(crate) struct Handle {
    pub(crate) caller: &'static str,
    pub(crate) shared: Rc<Shared>,
}

impl Handle {
    /// Waits for ever when the call is never answered.
    async fn judged(&self, call: Call<'_>) -> Verdict {
        // The judge is taken out, so that it may look at the store itself.
        let judge = self.shared.judge.borrow_mut().take();
        let Some(mut judge) = judge else { return Verdict::Serve };
        let verdict = judge(self.caller, &call);
        self.shared.judge.borrow_mut().get_or_insert(judge);
        if verdict == Verdict::Silent {
            // A client gives up by itself; the next call is judged anew.
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        verdict
    }

    fn lost() -> Error {
        Error::Unknown { reason: "the test lost the answer".to_owned() }
    }
}

#[async_trait(?Send)]
impl Store for Handle {
    async fn get(&self, key: &str) -> Result<Option<Pair>> {
        match self.judged(Call::Read).await {
            Verdict::Serve => Ok(self.shared.pairs.borrow().get(key).cloned()),
            _ => Err(Self::lost()),
        }
    }

    async fn range(&self, prefix: &str) -> Result<Snapshot> {
        match self.judged(Call::Read).await {
            Verdict::Serve => {
                let pairs = self.shared.pairs.borrow();
                let pairs = pairs.values().filter(|pair| pair.key.starts_with(prefix));
                Ok(Snapshot {
                    pairs: pairs.cloned().collect(),
                    revision: self.shared.revision.get(),
                })
            }
            _ => Err(Self::lost()),
        }
    }

    async fn commit(&self, transaction: Transaction) -> Result<i64> {
        match self.judged(Call::Commit(&transaction)).await {
            Verdict::Serve => self.shared.apply(transaction),
            Verdict::LoseAnswer => {
                // Whether it was carried out is what the caller does not learn.
                let _ = self.shared.apply(transaction);
                Err(Self::lost())
            }
            Verdict::Late => {
                self.shared.late.borrow_mut().push(transaction);
                Err(Self::lost())
            }
            Verdict::Silent => Err(Self::lost()),
        }
    }

    async fn grant(&self, _: Duration) -> Result<i64> {
        if self.judged(Call::Lease).await != Verdict::Serve {
            return Err(Self::lost());
        }
        let id = self.shared.granted.get() + 1;
        self.shared.granted.set(id);
        self.shared.leases.borrow_mut().insert(id);
        Ok(id)
    }

    async fn keep_alive(&self, lease: i64) -> Result<()> {
        if self.judged(Call::Lease).await != Verdict::Serve {
            return Err(Self::lost());
        }
        match self.shared.leases.borrow().contains(&lease) {
            true => Ok(()),
            false => Err(Error::LeaseGone { id: lease }),
        }
    }

    async fn revoke(&self, lease: i64) -> Result<()> {
        self.shared.leases.borrow_mut().remove(&lease);
        Ok(())
    }

    async fn watch(&self, prefix: &str, revision: i64) -> Result<Box<dyn Watch>> {
        let shared = self.shared.clone();
        Ok(Box::new(Follower { shared, prefix: prefix.to_owned(), next: revision }))
    }
}

/// A watch; it is always served.
struct Follower {
    shared: Rc<Shared>,
    prefix: String,
    next: i64,
}

impl Follower {
    /// Changes from the next revision on.
    fn changes(&self) -> Vec<Change> {
        let log = self.shared.log.borrow();
        let later = log.iter().filter(|(revision, _)| *revision >= self.next);
        let of_prefix = |change: &Change| match change {
            Change::Put(pair) => pair.key.starts_with(&self.prefix),
            Change::Delete { key, .. } => key.starts_with(&self.prefix),
        };
        later.map(|(_, change)| change.clone()).filter(of_prefix).collect()
    }
}

#[async_trait(?Send)]
impl Watch for Follower {
    async fn next(&mut self) -> Result<Update> {
        loop {
            let changed = self.shared.changed.listen();
            let changes = self.changes();
            if !changes.is_empty() {
                let revision = self.shared.revision.get();
                self.next = revision + 1;
                return Ok(Update { changes, revision });
            }
            changed.await;
        }
    }
}
