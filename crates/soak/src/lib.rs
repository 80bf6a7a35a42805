//! Real processes under faults that come from outside them, with their promises checked.
//!
//! A soak starts a stand-in of the store, workers with their agents, and entries as processes of
//! their own on loopback addresses. Every connection between them goes through a proxy of the
//! soak, which delays, resets or silences it. Processes are stopped, paused, killed and started
//! again by signals. Meanwhile callers submit, ask for and cancel jobs of several tasks, over
//! connections that they keep.
//!
//! - [`options`]: what is asked for on the command line.
//! - [`floor`]: the processes, their addresses and settings.
//! - [`child`]: one process.
//! - [`proxy`]: the connections between them.
//! - [`fault`]: the series of faults that a seed makes.
//! - [`load`]: what callers do.
//! - [`book`]: what callers were told and what workers did.
//! - [`oracle`]: the promises, checked over the book.
//! - [`run`]: one soak from start to end.
//!
//! What is decided by the seed are the jobs and the faults with their times; how they meet depends
//! on the machine.

pub mod book;
pub mod child;
pub mod fault;
pub mod floor;
pub mod load;
pub mod options;
pub mod oracle;
pub mod proxy;
pub mod run;
