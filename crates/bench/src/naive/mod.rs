//! A naive scheduler, as a baseline: random targets, one FIFO queue per worker, no control of
//! colocation.
//!
//! One process receives all requests and jobs. It assigns each to a random worker, where it waits
//! in one queue with all other work until one of the worker's slots is free. Nothing is persisted,
//! retried, evicted or refused.

mod jobs;
mod serve;
mod worker;

pub use serve::{Bound, run};
pub use worker::Address;
