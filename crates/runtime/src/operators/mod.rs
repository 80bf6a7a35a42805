//! The operators' HTTP listener, separate from the one for callers.
//!
//! | path | method | answer |
//! |---|---|---|
//! | `/healthz` | GET | 200 while the process runs |
//! | `/readyz` | GET | 200 if the process accepts work, otherwise 503 with the reason |
//! | `/metrics` | GET | metrics in the Prometheus text format |
//! | `/dump` | GET | the state of the process as JSON |
//! | `/log` | GET | the log filter in force |
//! | `/log?filter=FILTER` | POST | replaces the log filter |
//!
//! SIGUSR1 writes the same state to the log.

mod handler;
mod inspect;
mod listener;

pub use inspect::{Inspect, NotReady};
pub use listener::Listener;
