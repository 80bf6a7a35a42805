//! Carries out one run and sums it up.

pub mod display;
pub mod experiment;
pub mod output;
mod sum;

pub use experiment::{Experiment, Findings};
pub use sum::summarize;
