//! Requests a report before the next heartbeat is due.

use event_listener::Event;
use std::cell::Cell;

/// A pending request for a report; kept until the session clears it.
#[derive(Debug, Default)]
pub(crate) struct Wake {
    pending: Cell<bool>,
    event: Event,
}

impl Wake {
    /// Requests a report.
    pub(crate) fn notify(&self) {
        self.pending.set(true);
        self.event.notify(usize::MAX);
    }

    /// Clears the pending request; returns whether there was one.
    pub(crate) fn clear(&self) -> bool {
        self.pending.replace(false)
    }

    /// Waits until a report is requested.
    pub(crate) async fn wait(&self) {
        while !self.pending.get() {
            self.event.listen().await;
        }
    }
}
