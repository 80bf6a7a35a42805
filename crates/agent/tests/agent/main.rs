//! Behaviour of an agent over real connections, beside a stand-in worker.

mod configuration;
mod leaving;
mod path;
mod restart;
mod support;
