//! Room kept free for quick work, following the recent crest.
//!
//! The room rises within a fraction of a second with the demand of quick work and falls slowly
//! after it, so that batch work that was moved out at a crest does not come back between two
//! waves. Demand is averaged first: a chance meeting of a few requests is no crest.

mod amounts;
mod crest;
mod settings;

pub use crest::Crest;
pub use settings::Settings;
