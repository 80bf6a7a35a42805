//! The reserve: resources kept free for quick work, sized by its recent peak demand.
//!
//! The reserve rises with the demand of quick work within a fraction of a second and decays slowly
//! afterwards, so that batch work evicted at a peak does not return between two bursts. Demand is
//! averaged first, so that a few requests that overlap by chance do not count as a peak.

mod amounts;
mod peak;
mod settings;

pub use peak::Peak;
pub use settings::Settings;
