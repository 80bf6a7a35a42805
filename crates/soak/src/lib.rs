//! Runs the programs as real processes under external faults and checks their guarantees.
//!
//! A soak starts a stand-in store, stand-in workers with their agents, and entries as separate
//! processes on loopback addresses. Every connection between them goes through a proxy of the soak,
//! which delays, resets or silences it. Processes are stopped, paused and killed by signals, and
//! started again. Meanwhile callers submit, query and cancel jobs of several tasks over persistent
//! connections.
//!
//! - [`options`]: the command line.
//! - [`testbed`]: the processes, their addresses and settings.
//! - [`child`]: one process.
//! - [`proxy`]: the connections between the processes.
//! - [`fault`]: the schedule of faults, derived from the seed.
//! - [`load`]: the client load.
//! - [`operator`]: evacuations of failure domains.
//! - [`history`]: the responses that callers received and the runs at the workers.
//! - [`oracle`]: checks the guarantees against the history.
//! - [`run`]: one soak from start to finish.
//!
//! The seed determines the jobs, the faults and their times. How these interleave depends on the
//! machine.

pub mod child;
pub mod fault;
pub mod history;
pub mod load;
pub mod operator;
pub mod options;
pub mod oracle;
pub mod proxy;
pub mod run;
pub mod testbed;
