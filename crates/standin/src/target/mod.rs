//! A target: it answers requests after a service time that what runs beside it really stretches.

mod serve;

pub use serve::Target;
