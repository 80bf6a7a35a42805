//! Scheduling decisions as tables and the systems that work on them.
//!
//! The crate does no I/O, reads no clock and uses no hidden randomness: each system receives the
//! current time and a seeded generator, updates its tables and returns commands. The processes, the
//! fuzzers and the benchmarks run the same systems.
//!
//! - [`admission`]: reservations and queues of one worker; decides what may start.
//! - [`disturbance`]: slowdown of one kind by another, learned per pair.
//! - [`estimate`]: resource demands and run times, learned from measurements.
//! - [`evict`]: throttling, checkpointing and eviction of batch work in favor of quick work.
//! - [`injected`]: faults that tests inject to show that a check can fail.
//! - [`lease`]: batch tasks of one worker under leases, fenced by epochs.
//! - [`ledger`]: batch jobs under an owner: grants, recovery, cancellation and retention.
//! - [`member`]: targets that are alive.
//! - [`outlier`]: ejection of failing and slow workers, limited to a share of each kind.
//! - [`plan`]: placement of task graphs on many workers by one owner.
//! - [`reserve`]: capacity reserved for quick work, following its recent peak.
//! - [`retry`]: retries within a budget.
//! - [`route`]: choice of a target for a request.
//! - [`share`]: fair shares of callers, and load shedding under overload.
//! - [`spread`]: distribution of the configuration; the revision never decreases.

pub mod admission;
pub mod disturbance;
pub mod estimate;
pub mod evict;
pub mod injected;
pub mod lease;
pub mod ledger;
pub mod member;
pub mod outlier;
pub mod plan;
pub mod reserve;
pub mod retry;
pub mod route;
pub mod share;
pub mod spread;
