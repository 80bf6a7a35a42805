use event_listener::{Event, EventListener};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The direction of the bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// From the connecting process.
    Forward,
    /// To the connecting process.
    Backward,
}

/// The faults on the connections from one process to another; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Link {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    delay: Cell<Duration>,
    forward: Cell<bool>,
    backward: Cell<bool>,
    resets: Cell<u64>,
    losses: Cell<u64>,
    changed: Event,
}

impl Link {
    /// Delays every chunk of bytes from now on; zero means no delay.
    pub fn set_delay(&self, delay: Duration) {
        self.inner.delay.set(delay);
        self.inner.changed.notify(usize::MAX);
    }

    /// Holds back (`true`) or releases (`false`) the bytes of each direction.
    pub fn set_silent(&self, forward: bool, backward: bool) {
        self.inner.forward.set(forward);
        self.inner.backward.set(backward);
        self.inner.changed.notify(usize::MAX);
    }

    /// Breaks all open connections.
    pub fn reset(&self) {
        self.inner.resets.set(self.inner.resets.get() + 1);
        self.inner.changed.notify(usize::MAX);
    }

    /// Loses all later bytes of the open connections, for good and without a reset; connections that
    /// are opened later work.
    pub fn lose_open(&self) {
        self.inner.losses.set(self.inner.losses.get() + 1);
        self.inner.changed.notify(usize::MAX);
    }

    pub(super) fn losses(&self) -> u64 {
        self.inner.losses.get()
    }

    pub(super) fn delay(&self) -> Duration {
        self.inner.delay.get()
    }

    pub(super) fn is_silent(&self, direction: Direction) -> bool {
        match direction {
            Direction::Forward => self.inner.forward.get(),
            Direction::Backward => self.inner.backward.get(),
        }
    }

    pub(super) fn resets(&self) -> u64 {
        self.inner.resets.get()
    }

    pub(super) fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }
}
