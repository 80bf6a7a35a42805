//! Executes one experiment and summarizes it.

pub mod display;
pub mod experiment;
pub mod output;
mod policy;
mod sum;
mod system;

pub use experiment::{Experiment, Findings, Sample};
pub use policy::Policy;
pub use sum::summarize;
pub use system::System;
