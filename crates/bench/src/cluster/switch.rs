//! Kills or pauses the runtime of a thread from another thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const PAUSE_INTERVAL: Duration = Duration::from_millis(2);

/// Flags shared between the thread of a process and the threads that control it.
#[derive(Clone, Debug, Default)]
pub(super) struct Switch {
    killed: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
}

impl Switch {
    /// Ends the process abruptly, without any clean-up.
    pub(super) fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
    }

    /// Freezes or resumes the whole thread.
    pub(super) fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::SeqCst);
    }

    /// Applies pauses; returns once the process is killed.
    pub(super) async fn watch(self) {
        loop {
            self.freeze();
            if self.killed.load(Ordering::SeqCst) {
                return;
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Blocks the thread while it is paused, so that no task on its runtime makes progress.
    fn freeze(&self) {
        while self.paused.load(Ordering::SeqCst) && !self.killed.load(Ordering::SeqCst) {
            std::thread::sleep(PAUSE_INTERVAL);
        }
    }
}
