//! Domain types shared by every crate of shallotflow.
//!
//! The crate holds no I/O and no decisions:
//!
//! - [`name`]: shared immutable names.
//! - [`time`]: points in time and the clock that gives them.
//! - [`resources`]: what a task needs and what a worker has.
//! - [`class`]: the three classes of work.
//! - [`outcome`]: what is known of a request after it was answered.
//! - [`problem`]: errors as callers see them, with their remedies.
//! - [`fleet`]: defaults and exceptions that hold in the whole fleet.
//! - [`ini`]: INI documents with line numbers, and typed keys over them.
//! - [`log`]: which log records are written.
//! - [`metric`]: the metrics that the processes record.
//! - [`settings`]: how each process runs.
//! - [`graph`]: batch work as graphs of steps and tasks.
//! - [`job`]: batch jobs, from submission to their last state.
//! - [`task`]: single attempts of jobs at a worker.

pub mod class;
pub mod fleet;
pub mod graph;
pub mod ini;
pub mod job;
pub mod log;
pub mod metric;
pub mod name;
pub mod outcome;
pub mod problem;
pub mod resources;
pub mod settings;
pub mod task;
pub mod time;
