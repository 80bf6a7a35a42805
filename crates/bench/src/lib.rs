//! Load generation, fault injection, experiments and reports on the real programs.
//!
//! A run starts entries, agents and stand-ins as threads of one process, each with its own
//! runtime and on ports assigned by the system, sends them an open-loop load and counts the
//! outcomes.
//!
//! - [`testbed`]: the workers, kinds of work and load of an experiment.
//! - [`load`]: the open-loop load generator and its counts.
//! - [`echo`]: an echo server in place of the whole system, to measure the generator alone.
//! - [`cluster`]: the processes of a testbed.
//! - [`naive`]: a naive scheduler, as a baseline.
//! - [`fault`]: faults injected into a testbed.
//! - [`report`]: the results of experiments.
//! - [`run`]: executes one experiment and summarizes it.
//! - [`slope`]: the resource use that each further agent, target and task adds.
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
