//! Load, faults, experiments and reports on real processes.
//!
//! A run starts entries, agents and stand-ins as threads of one process, each with its own
//! runtime and on ports that the system chooses, sends them an open-loop load and counts what
//! came of it.
//!
//! - [`floor`]: the workers, the mix of work and the load that an experiment runs with.
//! - [`load`]: open-loop load and what came of it.
//! - [`echo`]: a server that stands in for the whole system, to check the generator by itself.
//! - [`cluster`]: the processes of a floor.
//! - [`naive`]: a naive scheduler, as a baseline.
//! - [`fault`]: faults that come over a floor.
//! - [`report`]: what an experiment found.
//! - [`run`]: carries out one run and sums it up.
//! - [`slope`]: what each agent, target and task adds.
//! - [`command`]: the subcommands of the program.

pub mod cluster;
pub mod command;
pub mod echo;
pub mod fault;
pub mod load;
pub mod naive;
pub mod report;
pub mod run;
pub mod slope;
pub mod testbed;
