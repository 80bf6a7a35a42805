//! Behaviour of an agent over real connections, beside a stand-in worker.

mod configuration;
mod leases;
mod leaving;
mod outcomes;
mod path;
mod restart;
mod support;
