//! A naive scheduler, as a baseline: random targets, one FIFO a worker, no control of colocation.
//!
//! One process takes all requests and jobs. It sends each to a worker chosen at random, where it
//! waits in one queue with everything else until one of the worker's slots is free. Nothing is
//! kept, retried, evicted or refused.

mod jobs;
mod serve;
mod worker;

pub use serve::{Bound, run};
pub use worker::Address;
