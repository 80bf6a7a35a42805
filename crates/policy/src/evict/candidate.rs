//! Running batch tasks that may be throttled or evicted.

use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;

/// A running batch task that may be throttled or evicted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The task.
    pub key: Key,
    /// The resources reserved for it.
    pub resources: Bundle,
    /// Its current CPU share, thousandths.
    pub share_milli: u32,
    /// Slowdown that it causes to quick work when it runs unthrottled: added run time, thousandths.
    pub added_milli: u32,
    /// Run time since its last checkpoint, which an eviction may lose; milliseconds.
    pub unsaved_ms: u64,
    /// Whether it is urgent; urgent tasks are evicted last.
    pub urgent: bool,
    /// Whether it is already being stopped.
    pub stopping: bool,
}
