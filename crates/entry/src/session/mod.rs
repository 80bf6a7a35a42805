//! The entry's session at the store: its lease, its presence, and the view of the other entries.
//!
//! - [`Session`]: keeps the lease alive and watches the live entries and the owners of ledgers.
//! - [`Lease`]: the held lease with its local deadline.
//! - [`Presence`], [`Owner`]: the values that entries write.
//! - [`keys`]: the keys under which they are written.

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
/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// The part of a lease that stays unused because clocks run at different rates, in percent.
const LEASE_MARGIN_PERCENT: u32 = 10;

/// The entry's lease, its presence and its view of the other entries. Shared through an `Rc`.
pub struct Session {
    name: Name,
    presence: Presence,
    lease_ttl: Duration,
    store: Rc<dyn Store>,
    lease: Cell<Option<Lease>>,
    failing_since: Cell<Option<Time>>,
    view: RefCell<View>,
    changed: Event,
    closed: Cell<bool>,
}

impl Session {
    /// Starts a session that publishes `presence` under `name` with a lease of duration
    /// `lease_ttl`.
    pub fn start(
        name: Name,
        presence: Presence,
        lease_ttl: Duration,
        store: Rc<dyn Store>,
    ) -> Rc<Self> {
        let session = Rc::new(Self {
            name,
            presence,
            lease_ttl,
            store,
            lease: Cell::new(None),
            failing_since: Cell::new(None),
            view: RefCell::default(),
            changed: Event::new(),
            closed: Cell::new(false),
        });
        monoio::spawn(renew_lease(session.clone()));
        monoio::spawn(follow_view(session.clone()));
        session
    }

    /// Returns the name of this entry.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the store client.
    pub fn store(&self) -> Rc<dyn Store> {
        self.store.clone()
    }

    /// Returns the lease if it is certainly held at `now`.
    pub fn lease(&self, now: Time) -> Option<Lease> {
        self.lease.get().filter(|lease| !lease.deadline.passed(now))
    }

    /// Returns the most recent lease, even past its local deadline; `None` once the store has
    /// reported that it ended.
    pub fn last_lease(&self) -> Option<Lease> {
        self.lease.get()
    }

    /// Returns whether the latest calls to the store failed or no lease is held.
    pub fn is_failing(&self) -> bool {
        self.failing_since.get().is_some() || self.lease.get().is_none()
    }

    /// Records whether the latest call to the store failed.
    pub fn set_failing(&self, failed: bool) {
        let since = self.failing_since.get();
        self.failing_since.set(failed.then(|| since.unwrap_or_else(|| Monotonic.now())));
    }

    /// Returns the names of the live entries, as last seen.
    pub fn entries(&self) -> Vec<Name> {
        self.view.borrow().entries.keys().cloned().collect()
    }

    /// Returns the addresses of the live entries for agents and other entries, this entry first.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let others = view.entries.iter().filter(|(name, _)| **name != self.name);
        let others = others.map(|(_, presence)| presence.peers);
        std::iter::once(self.presence.peers).chain(others).collect()
    }

    /// Returns the live entries with their addresses, as last seen.
    pub fn live_entries(&self) -> Vec<Peer> {
        let view = self.view.borrow();
        let peer = |(name, presence): (&Name, &Presence)| Peer {
            name: name.clone(),
            callers: presence.callers,
            peers: presence.peers,
        };
        view.entries.iter().map(peer).collect()
    }

    /// Returns the address of entry `name` for agents and other entries, if the entry is live.
    pub fn peer_address(&self, name: &Name) -> Option<SocketAddr> {
        self.view.borrow().entries.get(name).map(|presence| presence.peers)
    }

    /// Returns the owner of `ledger`, as last seen.
    pub fn owner(&self, ledger: u32) -> Option<Owner> {
        self.view.borrow().owners.get(&ledger).cloned()
    }

    /// Returns whether the view of entries and owners has been read at least once.
    pub fn is_synced(&self) -> bool {
        self.view.borrow().revision > 0
    }

    /// Listens for the next change of the lease, the entries or the owners.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Revokes the lease, which also deletes the presence and the owner keys of this entry.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer; the lease then expires by itself.
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
            None => Lease { id: self.store.grant(self.lease_ttl).await?, deadline: Time::ZERO },
        };
        if lease.deadline == Time::ZERO {
            self.announce(lease.id).await?;
            spdlog::info!("session started", kv: { lease = lease.id });
        }
        if self.closed.get() {
            return self.store.revoke(lease.id).await;
        }
        let usable_ttl = self.lease_ttl - self.lease_ttl * LEASE_MARGIN_PERCENT / 100;
        self.lease.set(Some(Lease { id: lease.id, deadline: sent.after(usable_ttl) }));
        Ok(())
    }

    async fn announce(&self, lease: i64) -> Result<()> {
        let key = keys::entry(&self.name);
        let value = serde_json::to_vec(&self.presence).expect("an address is valid JSON");
        self.store.commit(Transaction::default().put_leased(key, value, lease)).await?;
        Ok(())
    }

    fn handle_renewal(&self, result: &Result<()>) {
        self.set_failing(result.is_err());
        let Err(error) = result else { return };
        spdlog::warn!("lease not renewed", kv: { error = error.to_string() });
        if let Error::LeaseGone { .. } = error {
            self.lease.set(None);
            self.changed.notify(usize::MAX);
        }
    }
}

/// Renews the lease until the session is closed.
async fn renew_lease(session: Rc<Session>) {
    let renewal_interval = session.lease_ttl / RENEWALS_PER_LEASE;
    while !session.closed.get() {
        let had_lease = session.lease.get().is_some();
        let result = session.renew().await;
        session.handle_renewal(&result);
        if result.is_ok() && !had_lease {
            session.changed.notify(usize::MAX);
        }
        monoio::time::sleep(if result.is_ok() { renewal_interval } else { RETRY_DELAY }).await;
    }
}

/// Keeps the view of the live entries and the owners up to date until the session is closed.
async fn follow_view(session: Rc<Session>) {
    while !session.closed.get() {
        let Err(error) = read_and_watch(&session).await;
        spdlog::debug!("view of entries interrupted", kv: { error = error.to_string() });
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

async fn read_and_watch(session: &Session) -> Result<std::convert::Infallible> {
    let snapshot = session.store.range(keys::FLEET).await?;
    let revision = snapshot.revision;
    session.view.replace(View::read(&snapshot.whole()?, revision));
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
