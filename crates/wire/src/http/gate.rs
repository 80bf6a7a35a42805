//! Counts connections and exchanges in progress, and signals connections to close.

use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;

/// Shutdown state shared by the connections of a server; clones share it.
#[derive(Clone, Default)]
pub struct Gate {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    active: Cell<usize>,
    connections: Cell<usize>,
    draining: Cell<bool>,
    aborted: Cell<bool>,
    /// Notified when the gate drains or aborts; every idle connection listens.
    closing: Event,
    /// Notified when a count reaches zero.
    reached_zero: Event,
}

impl Gate {
    /// Asks connections to close after the exchange in progress.
    pub fn drain(&self) {
        self.inner.draining.set(true);
        self.inner.closing.notify(usize::MAX);
    }

    /// Whether [`Gate::drain`] was called.
    pub fn is_draining(&self) -> bool {
        self.inner.draining.get()
    }

    /// Closes all connections, even in the middle of an exchange, and accepts no new ones.
    ///
    /// The connections are closed once [`Gate::wait_closed`] returns.
    pub fn abort(&self) {
        self.inner.aborted.set(true);
        self.drain();
    }

    /// Number of exchanges in progress.
    pub fn active(&self) -> usize {
        self.inner.active.get()
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.inner.connections.get()
    }

    /// Waits until [`Gate::drain`] or [`Gate::abort`] is called.
    pub async fn wait_draining(&self) {
        while !self.is_draining() {
            self.inner.closing.listen().await;
        }
    }

    /// Waits until [`Gate::abort`] is called.
    pub(super) async fn wait_aborted(&self) {
        while !self.inner.aborted.get() {
            self.inner.closing.listen().await;
        }
    }

    /// Waits until no exchange is in progress.
    pub async fn wait_idle(&self) {
        while self.active() > 0 {
            self.inner.reached_zero.listen().await;
        }
    }

    /// Waits until no connection is open.
    pub async fn wait_closed(&self) {
        while self.connections() > 0 {
            self.inner.reached_zero.listen().await;
        }
    }

    pub(super) fn begin_exchange(&self) -> Guard {
        Guard::new(self, |inner| &inner.active)
    }

    pub(super) fn add_connection(&self) -> Guard {
        Guard::new(self, |inner| &inner.connections)
    }
}

/// Counts as one in a counter of a [`Gate`] until it is dropped.
pub(super) struct Guard {
    gate: Gate,
    counter: fn(&Inner) -> &Cell<usize>,
}

impl Guard {
    fn new(gate: &Gate, counter: fn(&Inner) -> &Cell<usize>) -> Self {
        let cell = counter(&gate.inner);
        cell.set(cell.get() + 1);
        Self { gate: gate.clone(), counter }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let cell = (self.counter)(&self.gate.inner);
        cell.set(cell.get() - 1);
        if cell.get() == 0 {
            self.gate.inner.reached_zero.notify(usize::MAX);
        }
    }
}
