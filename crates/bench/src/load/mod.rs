//! Open-loop load: requests are sent when they are due, regardless of the latency of answers.
//!
//! - [`schedule`]: the arrival times of requests, by seed.
//! - [`service`]: the service times of work, by seed.
//! - [`token`]: bodies that match an answer with its request.
//! - [`tally`] and [`jobs`]: the outcomes of requests and of jobs; [`outcomes`]: of the whole load.
//! - [`progress`]: live counts for the display.
//! - [`client`]: the HTTP client.
//! - [`quick`] and [`batch`]: streams of requests, including watchers, and of jobs.
//! - [`submission`]: the submissions of jobs.
//! - [`generator`]: the threads that send the load of a testbed.

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
