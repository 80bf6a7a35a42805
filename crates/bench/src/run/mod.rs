//! Carries out one run and sums it up.

pub mod display;
pub mod output;
mod sum;

pub use sum::summarize;
