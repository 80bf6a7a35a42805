//! The entry's standing with the store: its lease, its presence, and who else is there.
//!
//! - [`Session`]: keeps the lease alive and follows the live entries and the owners of ledgers.
//! - [`Lease`]: the lease as this entry may rely on it.
//! - [`Presence`], [`Owner`]: what entries write about themselves.
//! - [`keys`]: where it is written.

mod lease;
mod owner;
mod presence;
mod view;

pub mod keys;

pub use lease::Lease;
pub use owner::Owner;
pub use presence::Presence;

use crate::directory::Peer;
use event_listener::{Event, EventListener};
use shallotflow_core::name::Name;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_store::error::{Error, Result};
use shallotflow_store::store::Store;
use shallotflow_store::transaction::Transaction;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use view::View;

/// How long to wait after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Renewals within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// The share of a lease left unused for clocks that differ, percent.
const MARGIN_PERCENT: u32 = 10;

/// The entry's lease, presence and view of the other entries; clones of the `Rc` share it.
pub struct Session {
    name: Name,
    presence: Presence,
    span: Duration,
    store: Rc<dyn Store>,
    lease: Cell<Option<Lease>>,
    failing_since: Cell<Option<Time>>,
    view: RefCell<View>,
    changed: Event,
    closed: Cell<bool>,
}

impl Session {
    /// Starts a session that announces `presence` under `name`; `span` is the length of its lease.
    pub fn start(name: Name, presence: Presence, span: Duration, store: Rc<dyn Store>) -> Rc<Self> {
        let session = Rc::new(Self {
            name,
            presence,
            span,
            store,
            lease: Cell::new(None),
            failing_since: Cell::new(None),
            view: RefCell::default(),
            changed: Event::new(),
            closed: Cell::new(false),
        });
        monoio::spawn(keep(session.clone()));
        monoio::spawn(follow(session.clone()));
        session
    }

    /// The name of this entry.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// The store.
    pub fn store(&self) -> Rc<dyn Store> {
        self.store.clone()
    }

    /// The lease, if it is surely held at `now`.
    pub fn lease(&self, now: Time) -> Option<Lease> {
        self.lease.get().filter(|lease| !lease.deadline.passed(now))
    }

    /// The lease that was taken last; nothing once the store has said that it ended.
    pub fn last_lease(&self) -> Option<Lease> {
        self.lease.get()
    }

    /// Whether the last calls to the store failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.get().is_some() || self.lease.get().is_none()
    }

    /// Notes the result of a call to the store.
    pub fn note(&self, failed: bool) {
        let since = self.failing_since.get();
        self.failing_since.set(failed.then(|| since.unwrap_or_else(|| Monotonic.now())));
    }

    /// The names of the live entries, as last seen.
    pub fn entries(&self) -> Vec<Name> {
        self.view.borrow().entries.keys().cloned().collect()
    }

    /// Where the live entries take calls of agents and entries, this one first.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let others = view.entries.iter().filter(|(name, _)| **name != self.name);
        let others = others.map(|(_, presence)| presence.peers);
        std::iter::once(self.presence.peers).chain(others).collect()
    }

    /// The live entries with their addresses, as last seen.
    pub fn live(&self) -> Vec<Peer> {
        let view = self.view.borrow();
        let peer = |(name, presence): (&Name, &Presence)| Peer {
            name: name.clone(),
            callers: presence.callers,
            peers: presence.peers,
        };
        view.entries.iter().map(peer).collect()
    }

    /// Where the entry `name` takes calls, if it is live.
    pub fn peer(&self, name: &Name) -> Option<SocketAddr> {
        self.view.borrow().entries.get(name).map(|presence| presence.peers)
    }

    /// The owner of `ledger`, as last seen.
    pub fn owner(&self, ledger: u32) -> Option<Owner> {
        self.view.borrow().owners.get(&ledger).cloned()
    }

    /// Whether the view of entries and owners has been read.
    pub fn is_informed(&self) -> bool {
        self.view.borrow().revision > 0
    }

    /// Listens for the next change of the lease, the entries or the owners.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Ends the lease, and with it the presence and the ownership of ledgers.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer; the lease then ends by itself.
    pub async fn close(&self) -> Result<()> {
        self.closed.set(true);
        let Some(lease) = self.lease.take() else { return Ok(()) };
        self.store.revoke(lease.id).await
    }

    async fn renew(&self) -> Result<()> {
        let sent = Monotonic.now();
        let lease = match self.lease.get() {
            Some(lease) => {
                self.store.keep_alive(lease.id).await?;
                lease
            }
            None => Lease { id: self.store.grant(self.span).await?, deadline: Time::ZERO },
        };
        if lease.deadline == Time::ZERO {
            self.announce(lease.id).await?;
            spdlog::info!("session started", kv: { lease = lease.id });
        }
        if self.closed.get() {
            return self.store.revoke(lease.id).await;
        }
        let usable = self.span - self.span * MARGIN_PERCENT / 100;
        self.lease.set(Some(Lease { id: lease.id, deadline: sent.after(usable) }));
        Ok(())
    }

    async fn announce(&self, lease: i64) -> Result<()> {
        let key = keys::entry(&self.name);
        let value = serde_json::to_vec(&self.presence).expect("an address is valid JSON");
        self.store.commit(Transaction::default().put_leased(key, value, lease)).await?;
        Ok(())
    }

    fn take_result(&self, result: &Result<()>) {
        self.note(result.is_err());
        let Err(error) = result else { return };
        spdlog::warn!("lease not renewed", kv: { error = error.to_string() });
        if let Error::LeaseGone { .. } = error {
            self.lease.set(None);
            self.changed.notify(usize::MAX);
        }
    }
}

/// Renews the lease until the session is closed.
async fn keep(session: Rc<Session>) {
    let pause = session.span / RENEWALS_PER_LEASE;
    while !session.closed.get() {
        let had_lease = session.lease.get().is_some();
        let result = session.renew().await;
        session.take_result(&result);
        if result.is_ok() && !had_lease {
            session.changed.notify(usize::MAX);
        }
        monoio::time::sleep(if result.is_ok() { pause } else { RETRY_DELAY }).await;
    }
}

/// Follows the live entries and the owners until the session is closed.
async fn follow(session: Rc<Session>) {
    while !session.closed.get() {
        let Err(error) = read_and_watch(&session).await;
        spdlog::debug!("view of entries interrupted", kv: { error = error.to_string() });
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

async fn read_and_watch(session: &Session) -> Result<std::convert::Infallible> {
    let snapshot = session.store.range(keys::FLEET).await?;
    let revision = snapshot.revision;
    session.view.replace(View::read(snapshot));
    session.changed.notify(usize::MAX);
    let mut watch = session.store.watch(keys::FLEET, revision + 1).await?;
    loop {
        let update = watch.next().await?;
        if session.closed.get() {
            return Err(Error::Unavailable { reason: "the session is closed".to_owned() });
        }
        session.view.borrow_mut().apply(update);
        session.changed.notify(usize::MAX);
    }
}
