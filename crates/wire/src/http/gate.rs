//! Counts exchanges in progress and tells connections when to close.

use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;

/// Shared by the connections of a server; clones share the count.
#[derive(Clone, Default)]
pub struct Gate {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    active: Cell<usize>,
    connections: Cell<usize>,
    draining: Cell<bool>,
    cut: Cell<bool>,
    /// Notified when the gate drains or is cut; every idle connection listens.
    asked: Event,
    /// Notified when a count reaches zero.
    emptied: Event,
}

impl Gate {
    /// Asks connections to close after the exchange in progress.
    pub fn drain(&self) {
        self.inner.draining.set(true);
        self.inner.asked.notify(usize::MAX);
    }

    /// Whether [`Gate::drain`] was called.
    pub fn is_draining(&self) -> bool {
        self.inner.draining.get()
    }

    /// Breaks all connections off, also in the middle of an exchange, and accepts no new ones.
    ///
    /// The connections are closed once [`Gate::wait_closed`] returns.
    pub fn abort(&self) {
        self.inner.cut.set(true);
        self.drain();
    }

    /// Exchanges in progress.
    pub fn active(&self) -> usize {
        self.inner.active.get()
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.inner.connections.get()
    }

    /// Waits until the gate drains.
    pub async fn wait_draining(&self) {
        while !self.is_draining() {
            self.inner.asked.listen().await;
        }
    }

    /// Waits until [`Gate::abort`] is called.
    pub(super) async fn wait_aborted(&self) {
        while !self.inner.cut.get() {
            self.inner.asked.listen().await;
        }
    }

    /// Waits until no exchange is in progress.
    pub async fn wait_idle(&self) {
        while self.active() > 0 {
            self.inner.emptied.listen().await;
        }
    }

    /// Waits until no connection is open.
    pub async fn wait_closed(&self) {
        while self.connections() > 0 {
            self.inner.emptied.listen().await;
        }
    }

    pub(super) fn enter(&self) -> Pass {
        Pass::new(self, |inner| &inner.active)
    }

    pub(super) fn connect(&self) -> Pass {
        Pass::new(self, |inner| &inner.connections)
    }
}

/// Holds one place in a count of a [`Gate`] until it is dropped.
pub(super) struct Pass {
    gate: Gate,
    count: fn(&Inner) -> &Cell<usize>,
}

impl Pass {
    fn new(gate: &Gate, count: fn(&Inner) -> &Cell<usize>) -> Self {
        let cell = count(&gate.inner);
        cell.set(cell.get() + 1);
        Self { gate: gate.clone(), count }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let cell = (self.count)(&self.gate.inner);
        cell.set(cell.get() - 1);
        if cell.get() == 0 {
            self.gate.inner.emptied.notify(usize::MAX);
        }
    }
}
