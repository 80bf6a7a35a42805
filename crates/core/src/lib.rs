//! Domain types shared by every crate of shallotflow.
//!
//! The crate contains neither scheduling policy nor network I/O:
//!
//! - [`name`]: shared immutable names.
//! - [`time`]: points in time and the clocks that return them.
//! - [`resources`]: resource requests of tasks and capacities of workers.
//! - [`class`]: the three classes of work.
//! - [`outcome`]: whether a request was executed, as reported in its response.
//! - [`problem`]: errors returned to callers, with their remedies.
//! - [`fleet`]: fleet-wide defaults and exceptions.
//! - [`ini`]: INI documents with line numbers, and typed keys over them.
//! - [`list`]: lists from other processes, and whether they have every row.
//! - [`log`]: log levels and filters.
//! - [`metric`]: the metrics that the processes export.
//! - [`settings`]: the settings of each process.
//! - [`graph`]: batch work as graphs of steps and tasks.
//! - [`job`]: batch jobs, from submission to a final state.
//! - [`task`]: single attempts to run a job on a worker.

pub mod class;
pub mod fleet;
pub mod graph;
pub mod ini;
pub mod job;
pub mod list;
pub mod log;
pub mod metric;
pub mod name;
pub mod outcome;
pub mod problem;
pub mod resources;
pub mod settings;
pub mod task;
pub mod time;
