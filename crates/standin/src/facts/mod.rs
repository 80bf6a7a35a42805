//! What really happened, as the stand-ins saw it, with the promises that were broken.

mod board;
mod violations;

pub use board::{Board, Facts};
pub use violations::Violations;
