//! The entry: takes callers' requests, routes quick work and owns batch ledgers.

pub mod batch;
