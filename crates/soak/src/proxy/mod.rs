//! The connections between the processes.
//!
//! - [`Link`]: what happens to the bytes on one way between two processes.
//! - [`serve`]: accepts connections and passes them on.

mod link;
mod pass;

pub use link::Link;
pub use pass::serve;
