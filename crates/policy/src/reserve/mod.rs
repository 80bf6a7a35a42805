//! Room kept free for quick work, following the recent crest.
//!
//! The room rises at once with the demand of quick work and falls slowly after it, so that batch
//! work that was moved out at a crest does not come back between two waves.

mod crest;
mod settings;

pub use crest::Crest;
pub use settings::Settings;
