//! An in-memory store whose answers a test can withhold.

use async_trait::async_trait;
use event_listener::Event;
use shallotflow_core::list::Reader;
use shallotflow_store::error::{Error, Result};
use shallotflow_store::pair::Pair;
use shallotflow_store::store::{Snapshot, Store};
use shallotflow_store::transaction::{Compare, Transaction, Write};
use shallotflow_store::watch::{Change, Update, Watch};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The call is carried out and answered.
    Serve,
    /// The call is neither carried out nor answered.
    Silent,
    /// The call is neither carried out nor does it end.
    Hang,
    /// The call is carried out and answered once the test asks for it.
    Held,
    /// The call is carried out, but its answer is lost.
    LoseAnswer,
    /// The answer is lost, and the call is carried out when the test asks for it.
    Delayed,
}

/// A call as the test's interceptor sees it.
pub(crate) enum Call<'a> {
    /// A read of one key.
    Read(&'a str),
    /// A read of all keys with a prefix.
    Range(&'a str),
    /// A change.
    Commit(&'a Transaction),
    /// A new lease, or the renewal of one.
    Lease,
}

/// What happens to watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Watches {
    /// They are served.
    #[default]
    Serve,
    /// They fail.
    Fail,
    /// They neither show a change nor fail.
    Silent,
}

type Interceptor = Box<dyn FnMut(&str, &Call<'_>) -> Delivery>;

/// The contents of the store; the handles of all entries share them.
#[derive(Default)]
pub(crate) struct Shared {
    pairs: RefCell<BTreeMap<String, Pair>>,
    log: RefCell<Vec<(i64, Change)>>,
    revision: Cell<i64>,
    leases: RefCell<BTreeSet<i64>>,
    granted: Cell<i64>,
    changed: Event,
    /// The oldest revision whose changes are kept.
    oldest: Cell<i64>,
    watches: Cell<Watches>,
    /// The caller and the prefix of watches that show no change.
    muted: Cell<Option<(&'static str, &'static str)>>,
    interceptor: RefCell<Option<Interceptor>>,
    delayed: RefCell<Vec<Transaction>>,
    /// The number of calls that wait for the test.
    held: Cell<usize>,
    released: Event,
    /// Keys whose rows cannot be read in lists.
    hidden: RefCell<BTreeSet<String>>,
}

impl Shared {
    /// Lets `interceptor` decide the outcome of every call from now on.
    pub(crate) fn intercept(&self, interceptor: impl FnMut(&str, &Call<'_>) -> Delivery + 'static) {
        *self.interceptor.borrow_mut() = Some(Box::new(interceptor));
    }

    /// Serves every call from now on.
    pub(crate) fn serve_all(&self) {
        *self.interceptor.borrow_mut() = None;
    }

    /// Ends every lease and deletes its keys.
    pub(crate) fn expire_leases(&self) {
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

    /// Writes a key without a caller.
    pub(crate) fn put(&self, key: &str, value: &str, lease: i64) {
        self.begin();
        self.write(Write::Put { key: key.to_owned(), value: value.into(), lease });
    }

    /// Deletes a key without a caller.
    pub(crate) fn delete(&self, key: &str) {
        self.begin();
        self.write(Write::Delete { key: key.to_owned() });
    }

    /// Forgets all changes, so that watches of them fail.
    pub(crate) fn compact(&self) {
        self.log.borrow_mut().clear();
        self.oldest.set(self.revision.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Sets what happens to watches from now on.
    pub(crate) fn set_watches(&self, watches: Watches) {
        self.watches.set(watches);
        self.changed.notify(usize::MAX);
    }

    /// Lets the watches of `caller` on `prefix` show no change from now on.
    pub(crate) fn mute(&self, caller: &'static str, prefix: &'static str) {
        self.muted.set(Some((caller, prefix)));
    }

    /// Carries out the delayed transactions, and returns how many were applied.
    pub(crate) fn apply_delayed(&self) -> usize {
        let delayed = std::mem::take(&mut *self.delayed.borrow_mut());
        delayed.into_iter().filter(|transaction| self.apply(transaction.clone()).is_ok()).count()
    }

    pub(crate) fn delayed_count(&self) -> usize {
        self.delayed.borrow().len()
    }

    /// The number of calls that wait for the test.
    pub(crate) fn held_count(&self) -> usize {
        self.held.get()
    }

    /// Carries out the calls that wait for the test.
    pub(crate) fn release_held(&self) {
        self.held.set(0);
        self.released.notify(usize::MAX);
    }

    /// Lets lists show the row of a key in a form that cannot be read from now on.
    pub(crate) fn hide(&self, key: &str) {
        self.hidden.borrow_mut().insert(key.to_owned());
    }

    /// Lets lists show all rows.
    pub(crate) fn show_all(&self) {
        self.hidden.borrow_mut().clear();
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
    /// Returns the outcome that the interceptor decides for a call.
    async fn intercepted(&self, call: Call<'_>) -> Delivery {
        // The interceptor is taken out of its cell, so that it may use the store itself.
        let interceptor = self.shared.interceptor.borrow_mut().take();
        let Some(mut interceptor) = interceptor else { return Delivery::Serve };
        let delivery = interceptor(self.caller, &call);
        self.shared.interceptor.borrow_mut().get_or_insert(interceptor);
        if delivery == Delivery::Hang {
            std::future::pending::<()>().await;
        }
        if delivery == Delivery::Held {
            let released = self.shared.released.listen();
            self.shared.held.set(self.shared.held.get() + 1);
            released.await;
            return Delivery::Serve;
        }
        if delivery == Delivery::Silent {
            // The client times out; the next call is decided anew.
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        delivery
    }

    fn lost() -> Error {
        Error::Unknown { reason: "the test lost the answer".to_owned() }
    }
}

#[async_trait(?Send)]
impl Store for Handle {
    async fn get(&self, key: &str) -> Result<Option<Pair>> {
        match self.intercepted(Call::Read(key)).await {
            Delivery::Serve => Ok(self.shared.pairs.borrow().get(key).cloned()),
            _ => Err(Self::lost()),
        }
    }

    async fn range(&self, prefix: &str) -> Result<Snapshot> {
        match self.intercepted(Call::Range(prefix)).await {
            Delivery::Serve => {
                let pairs = self.shared.pairs.borrow();
                let pairs = pairs.values().filter(|pair| pair.key.starts_with(prefix));
                let hidden = self.shared.hidden.borrow();
                let mut rows = Reader::default();
                rows.extend(pairs.map(|pair| (!hidden.contains(&pair.key)).then(|| pair.clone())));
                Ok(Snapshot { pairs: rows.finish(false), revision: self.shared.revision.get() })
            }
            _ => Err(Self::lost()),
        }
    }

    async fn commit(&self, transaction: Transaction) -> Result<i64> {
        match self.intercepted(Call::Commit(&transaction)).await {
            Delivery::Serve => self.shared.apply(transaction),
            Delivery::LoseAnswer => {
                // The caller must not learn whether the call was carried out.
                let _ = self.shared.apply(transaction);
                Err(Self::lost())
            }
            Delivery::Delayed => {
                self.shared.delayed.borrow_mut().push(transaction);
                Err(Self::lost())
            }
            Delivery::Silent | Delivery::Hang | Delivery::Held => Err(Self::lost()),
        }
    }

    async fn grant(&self, _: Duration) -> Result<i64> {
        if self.intercepted(Call::Lease).await != Delivery::Serve {
            return Err(Self::lost());
        }
        let id = self.shared.granted.get() + 1;
        self.shared.granted.set(id);
        self.shared.leases.borrow_mut().insert(id);
        Ok(id)
    }

    async fn keep_alive(&self, lease: i64) -> Result<()> {
        if self.intercepted(Call::Lease).await != Delivery::Serve {
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
        let caller = self.caller;
        Ok(Box::new(Follower { shared, caller, prefix: prefix.to_owned(), next: revision }))
    }
}

/// A watch, which is served unless the test says otherwise.
struct Follower {
    shared: Rc<Shared>,
    caller: &'static str,
    prefix: String,
    next: i64,
}

impl Follower {
    /// Returns the changes from the next revision on.
    fn changes(&self) -> Vec<Change> {
        let log = self.shared.log.borrow();
        let later = log.iter().filter(|(revision, _)| *revision >= self.next);
        let has_prefix = |change: &Change| match change {
            Change::Put(pair) => pair.key.starts_with(&self.prefix),
            Change::Delete { key, .. } => key.starts_with(&self.prefix),
        };
        later.map(|(_, change)| change.clone()).filter(has_prefix).collect()
    }
}

#[async_trait(?Send)]
impl Watch for Follower {
    async fn next(&mut self) -> Result<Update> {
        loop {
            let changed = self.shared.changed.listen();
            let changes = self.changes();
            if self.shared.muted.get() == Some((self.caller, &*self.prefix)) {
                changed.await;
                continue;
            }
            if self.shared.watches.get() == Watches::Fail {
                return Err(Handle::lost());
            }
            if self.shared.watches.get() == Watches::Serve && self.next < self.shared.oldest.get() {
                return Err(Error::Compacted { oldest: self.shared.oldest.get() });
            }
            if self.shared.watches.get() == Watches::Serve && !changes.is_empty() {
                let revision = self.shared.revision.get();
                self.next = revision + 1;
                return Ok(Update { changes, revision });
            }
            changed.await;
        }
    }
}
