use event_listener::{Event, EventListener};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// From whoever connects.
    There,
    /// Back to it.
    Back,
}

/// What happens to the bytes between two processes; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Link {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    delay: Cell<Duration>,
    there: Cell<bool>,
    back: Cell<bool>,
    resets: Cell<u64>,
    changed: Event,
}

impl Link {
    /// Delays every chunk of bytes from now on; zero for no delay.
    pub fn set_delay(&self, delay: Duration) {
        self.inner.delay.set(delay);
        self.inner.changed.notify(usize::MAX);
    }

    /// Holds the bytes of either way back, or lets them go again.
    pub fn set_silent(&self, there: bool, back: bool) {
        self.inner.there.set(there);
        self.inner.back.set(back);
        self.inner.changed.notify(usize::MAX);
    }

    /// Breaks every open connection.
    pub fn reset(&self) {
        self.inner.resets.set(self.inner.resets.get() + 1);
        self.inner.changed.notify(usize::MAX);
    }

    pub(super) fn delay(&self) -> Duration {
        self.inner.delay.get()
    }

    pub(super) fn is_silent(&self, way: Way) -> bool {
        match way {
            Way::There => self.inner.there.get(),
            Way::Back => self.inner.back.get(),
        }
    }

    pub(super) fn resets(&self) -> u64 {
        self.inner.resets.get()
    }

    pub(super) fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }
}
