//! Settings of each process.

pub mod agent;
pub mod entry;
pub mod standin;
