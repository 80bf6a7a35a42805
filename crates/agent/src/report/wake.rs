//! Asks a session to report before its beat.

use event_listener::Event;
use std::cell::Cell;

/// A request that is kept until the session takes it.
#[derive(Debug, Default)]
pub(crate) struct Wake {
    pending: Cell<bool>,
    event: Event,
}

impl Wake {
    /// Asks for a report.
    pub(crate) fn ask(&self) {
        self.pending.set(true);
        self.event.notify(usize::MAX);
    }

    /// Takes the requests made so far.
    pub(crate) fn take(&self) -> bool {
        self.pending.replace(false)
    }

    /// Waits until a report is asked for.
    pub(crate) async fn wait(&self) {
        while !self.pending.get() {
            self.event.listen().await;
        }
    }
}
