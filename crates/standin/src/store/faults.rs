//! Faults injected into the stand-in store, set from any thread while it runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

const MILLION: u32 = 1_000_000;

/// The active faults; clones share them, across threads.
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
    lease_expirations: AtomicU64,
}

impl Faults {
    /// While `true`, refuses every call without executing it and breaks every watch.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
    }

    /// While `true`, holds back every call and every watch event.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.frozen.store(frozen, Ordering::SeqCst);
    }

    /// Delays every call by `delay` before it is executed.
    pub fn set_slow(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.slow_ms.store(millis, Ordering::SeqCst);
    }

    /// Drops the replies of a fraction `share` (0 to 1) of the writes after they were applied.
    pub fn set_lost_answers(&self, share: f64) {
        let per_million = (share.clamp(0.0, 1.0) * f64::from(MILLION)).round() as u32;
        self.shared.lost_per_million.store(per_million, Ordering::SeqCst);
    }

    /// Expires every lease that exists now.
    pub fn expire_leases(&self) {
        self.shared.lease_expirations.fetch_add(1, Ordering::SeqCst);
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

    /// The fraction (0 to 1) of writes whose replies are dropped.
    pub fn lost_answers(&self) -> f64 {
        f64::from(self.shared.lost_per_million.load(Ordering::SeqCst)) / f64::from(MILLION)
    }

    /// The number of calls to [`Faults::expire_leases`].
    pub(super) fn lease_expirations(&self) -> u64 {
        self.shared.lease_expirations.load(Ordering::SeqCst)
    }
}
