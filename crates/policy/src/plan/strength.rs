//! Which workers best-effort images leave to others.
//!
//! Some best-effort images raise the tail latency of the serving tasks beside them much, others
//! hardly. Where serving tasks run on nearly all workers, the few workers without one are the only
//! places where the former run at full speed. If the latter take these places, the former wait, or
//! miss the targets of serving tasks and are slowed down. So an image that hardly interferes goes
//! to workers with serving tasks first.

use super::Settings;
use crate::disturbance::Rates;
use shallotflow_core::name::Name;

/// How strongly an image interferes with serving tasks: 0 if hardly, 1 if strongly or not known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Strength(f64);

impl Strength {
    /// Rates `image` by what it adds to the known serving images at the mean.
    pub(super) fn of(image: Option<&Name>, rates: &Rates, settings: &Settings) -> Self {
        let added = image.and_then(|image| rates.mean_added(image));
        let strength = added.map_or(1.0, |added| added / settings.strong_interference);
        Self(strength.clamp(0.0, 1.0))
    }

    /// Returns what is added to the score of a worker without serving tasks, in shares of its
    /// processors.
    pub(super) fn vacant_worker_cost(self, settings: &Settings) -> f64 {
        settings.vacant_worker_cost * (1.0 - self.0)
    }
}
