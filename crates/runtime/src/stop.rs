//! Tells a process to stop, from a signal or from another thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

const DUMP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Times that SIGUSR1 arrived.
static DUMPS_ASKED: AtomicUsize = AtomicUsize::new(0);

/// Times that SIGHUP arrived.
static RELOADS_ASKED: AtomicUsize = AtomicUsize::new(0);

/// How far a process was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// It keeps running.
    Run = 0,
    /// It finishes what is in progress, then ends.
    Graceful = 1,
    /// It ends at once.
    Immediate = 2,
}

/// A request to stop; clones share it, across threads.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    level: Arc<AtomicU8>,
}

impl Stop {
    /// A stop that SIGTERM and SIGINT raise: the first gracefully, the second at once.
    ///
    /// SIGUSR1 then asks every program of the process for a dump of its state, and SIGHUP to read
    /// its settings again.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses the signal handlers.
    pub fn on_signals() -> std::io::Result<Self> {
        let stop = Self::default();
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            let level = stop.level.clone();
            let raise = move || {
                let _ = level.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |level| {
                    Some((level + 1).min(Level::Immediate as u8))
                });
            };
            register(signal, raise)?;
        }
        register(signal_hook::consts::SIGUSR1, || {
            DUMPS_ASKED.fetch_add(1, Ordering::SeqCst);
        })?;
        register(signal_hook::consts::SIGHUP, || {
            RELOADS_ASKED.fetch_add(1, Ordering::SeqCst);
        })?;
        Ok(stop)
    }

    /// Asks the process to stop; never lowers the level.
    pub fn raise(&self, level: Level) {
        self.level.fetch_max(level as u8, Ordering::SeqCst);
    }

    /// The level asked for.
    pub fn level(&self) -> Level {
        match self.level.load(Ordering::SeqCst) {
            0 => Level::Run,
            1 => Level::Graceful,
            _ => Level::Immediate,
        }
    }

    /// Waits until at least `level` is asked for.
    pub async fn wait(&self, level: Level) {
        while self.level() < level {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Waits for SIGUSR1, in each program of a process on its own.
#[derive(Debug)]
pub struct Dump {
    seen: usize,
}

impl Default for Dump {
    fn default() -> Self {
        Self { seen: DUMPS_ASKED.load(Ordering::SeqCst) }
    }
}

impl Dump {
    /// Waits until a dump is asked for; signals that arrive meanwhile count once.
    pub async fn wait(&mut self) {
        loop {
            let asked = DUMPS_ASKED.load(Ordering::SeqCst);
            if asked != self.seen {
                self.seen = asked;
                return;
            }
            monoio::time::sleep(DUMP_POLL_INTERVAL).await;
        }
    }
}

/// Tells whether SIGHUP has arrived since it was asked last.
#[derive(Debug)]
pub struct Reload {
    seen: usize,
}

impl Default for Reload {
    fn default() -> Self {
        Self { seen: RELOADS_ASKED.load(Ordering::SeqCst) }
    }
}

impl Reload {
    /// Whether a reload is asked for; signals that arrived meanwhile count once.
    pub fn take(&mut self) -> bool {
        let asked = RELOADS_ASKED.load(Ordering::SeqCst);
        std::mem::replace(&mut self.seen, asked) != asked
    }
}

#[allow(unsafe_code)]
fn register(signal: i32, action: impl Fn() + Sync + Send + 'static) -> std::io::Result<()> {
    // SAFETY: the actions only touch atomics, which is safe within a signal handler.
    unsafe { signal_hook::low_level::register(signal, action) }.map(|_| ())
}
