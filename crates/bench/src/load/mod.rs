//! Open-loop load: requests are sent when they are due, however slow the answers are.
//!
//! - [`schedule`]: when requests are due, by seed.
//! - [`service`]: how long work runs, by seed.
//! - [`token`]: bodies by which an answer is matched with its request.
//! - [`tally`] and [`jobs`]: what came of requests and of jobs; [`outcomes`]: of the whole load.
//! - [`progress`]: counts that are shown while a load goes on.
//! - [`client`]: one exchange with an entry.
//! - [`quick`] and [`batch`]: requests, watchers among them, and jobs.
//! - [`draft`]: what jobs say of themselves.
//! - [`generator`]: the threads that send the load of a floor.

pub mod batch;
pub mod client;
pub mod generator;
pub mod jobs;
pub mod outcomes;
pub mod progress;
pub mod quick;
pub mod schedule;
pub mod service;
pub mod submission;
pub mod tally;
pub mod token;
