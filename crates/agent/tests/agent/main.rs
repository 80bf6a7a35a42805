//! Tests of an agent over real connections, next to a stand-in worker.

mod configuration;
mod leases;
mod leaving;
mod outcomes;
mod path;
mod restart;
mod support;
