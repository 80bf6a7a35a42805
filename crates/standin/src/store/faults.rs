//! Faults of the stand-in store, set from any thread while it runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

const MILLION: u32 = 1_000_000;

/// Faults in force; clones share them, across threads.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    down: AtomicBool,
    frozen: AtomicBool,
    slow_ms: AtomicU64,
    lost_per_million: AtomicU32,
    lease_wave: AtomicU64,
}

impl Faults {
    /// Refuses every call without carrying it out and breaks every watch, or ends that.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
    }

    /// Holds every call and every watch event back until it is set to `false`.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.frozen.store(frozen, Ordering::SeqCst);
    }

    /// Delays every call by `delay` before it is carried out.
    pub fn set_slow(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.slow_ms.store(millis, Ordering::SeqCst);
    }

    /// Loses the answers of `share` (0 to 1) of the writes after they were applied.
    pub fn set_lost_answers(&self, share: f64) {
        let per_million = (share.clamp(0.0, 1.0) * f64::from(MILLION)).round() as u32;
        self.shared.lost_per_million.store(per_million, Ordering::SeqCst);
    }

    /// Ends every lease that exists now.
    pub fn expire_leases(&self) {
        self.shared.lease_wave.fetch_add(1, Ordering::SeqCst);
    }

    /// Whether calls are refused.
    pub fn is_down(&self) -> bool {
        self.shared.down.load(Ordering::SeqCst)
    }

    /// Whether calls are held back.
    pub fn is_frozen(&self) -> bool {
        self.shared.frozen.load(Ordering::SeqCst)
    }

    /// The delay of every call.
    pub fn slow(&self) -> Duration {
        Duration::from_millis(self.shared.slow_ms.load(Ordering::SeqCst))
    }

    /// The share of writes whose answers are lost.
    pub fn lost_answers(&self) -> f64 {
        f64::from(self.shared.lost_per_million.load(Ordering::SeqCst)) / f64::from(MILLION)
    }

    /// How often [`Faults::expire_leases`] was called.
    pub(super) fn lease_wave(&self) -> u64 {
        self.shared.lease_wave.load(Ordering::SeqCst)
    }
}
