//! Room kept free for quick work, following the recent peak.
//!
//! The room rises within a fraction of a second with the demand of quick work and falls slowly
//! after it, so that batch work that was moved out at a peak does not come back between two
//! surges. Demand is averaged first: a chance meeting of a few requests is no peak.

mod amounts;
mod peak;
mod settings;

pub use peak::Peak;
pub use settings::Settings;
