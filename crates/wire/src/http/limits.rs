//! Limits on a connection, as set in the `[limits]` section of a settings file.

pub use shallotflow_core::settings::limits::Limits;
