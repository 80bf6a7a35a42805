//! Decisions as tables and systems.
//!
//! Nothing here does I/O, reads a clock or draws hidden random numbers: each system gets the
//! current time and a seeded generator, runs over its tables and gives back commands. The
//! processes, the fuzzers and the bench run the same systems.
//!
//! - [`admission`]: reservations and queues of one worker: what may start there now.
//! - [`disturbance`]: slowdown of one kind by another, learned per pair.
//! - [`estimate`]: sizes and run times, learned from late reports.
//! - [`evict`]: throttling, checkpointing and evicting batch work for quick work.
//! - [`lease`]: batch tasks of one worker under leases, fenced by epochs.
//! - [`ledger`]: batch jobs under an owner: grants, recovery, cancellation and retention.
//! - [`member`]: which targets and entries are alive.
//! - [`plan`]: graphs of tasks on many workers, decided by one owner.
//! - [`injected`]: faults that tests switch on to show that a check can fail.
//! - [`outlier`]: setting failing and slow workers aside, within a bound.
//! - [`reserve`]: room kept free for quick work, following the recent peak.
//! - [`retry`]: retries within a budget.
//! - [`route`]: the choice of a target for a request.
//! - [`share`]: fair shares of callers and shedding under overload.
//! - [`spread`]: one configuration revision in force everywhere, never an older one.

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
