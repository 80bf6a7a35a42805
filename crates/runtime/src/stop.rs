//! Requests to stop, dump or reload, raised by signals or, for a stop, by another thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::time::Duration;

/// How often a task that waits for a stop checks the level.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often a task that waits for SIGUSR1 checks the count.
const DUMP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Number of times that SIGUSR1 arrived.
static DUMP_REQUESTS: AtomicUsize = AtomicUsize::new(0);

/// Number of times that SIGHUP arrived.
static RELOAD_REQUESTS: AtomicUsize = AtomicUsize::new(0);

/// The kind of stop that is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// The process keeps running.
    Run = 0,
    /// The process finishes the work in progress, then ends.
    Graceful = 1,
    /// The process ends immediately.
    Immediate = 2,
}

/// A request to stop; clones share it, also across threads.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    level: Arc<AtomicU8>,
}

impl Stop {
    /// Creates a stop that SIGTERM and SIGINT raise: the first signal to graceful, the second to
    /// immediate.
    ///
    /// Also makes SIGUSR1 request a state dump from every program of the process, and SIGHUP request
    /// a reload of its settings.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be registered.
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
            DUMP_REQUESTS.fetch_add(1, Ordering::SeqCst);
        })?;
        register(signal_hook::consts::SIGHUP, || {
            RELOAD_REQUESTS.fetch_add(1, Ordering::SeqCst);
        })?;
        Ok(stop)
    }

    /// Raises the level to at least `level`; never lowers it.
    pub fn raise(&self, level: Level) {
        self.level.fetch_max(level as u8, Ordering::SeqCst);
    }

    /// The current level.
    pub fn level(&self) -> Level {
        match self.level.load(Ordering::SeqCst) {
            0 => Level::Run,
            1 => Level::Graceful,
            _ => Level::Immediate,
        }
    }

    /// Waits until the level is at least `level`.
    pub async fn wait(&self, level: Level) {
        while self.level() < level {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Waits for SIGUSR1, independently of the other programs of the process.
#[derive(Debug)]
pub struct Dump {
    seen: usize,
}

impl Default for Dump {
    fn default() -> Self {
        Self { seen: DUMP_REQUESTS.load(Ordering::SeqCst) }
    }
}

impl Dump {
    /// Waits until a dump is requested; several signals since the last call count once.
    pub async fn wait(&mut self) {
        loop {
            let requests = DUMP_REQUESTS.load(Ordering::SeqCst);
            if requests != self.seen {
                self.seen = requests;
                return;
            }
            monoio::time::sleep(DUMP_POLL_INTERVAL).await;
        }
    }
}

/// Detects requests to reload the settings, which SIGHUP raises.
#[derive(Debug)]
pub struct Reload {
    seen: usize,
}

impl Default for Reload {
    fn default() -> Self {
        Self { seen: RELOAD_REQUESTS.load(Ordering::SeqCst) }
    }
}

impl Reload {
    /// Whether a reload was requested since the last call; several signals count once.
    pub fn take(&mut self) -> bool {
        let requests = RELOAD_REQUESTS.load(Ordering::SeqCst);
        std::mem::replace(&mut self.seen, requests) != requests
    }
}

#[allow(unsafe_code)]
fn register(signal: i32, action: impl Fn() + Sync + Send + 'static) -> std::io::Result<()> {
    // SAFETY: the actions only access atomics, which is safe in a signal handler.
    unsafe { signal_hook::low_level::register(signal, action) }.map(|_| ())
}
