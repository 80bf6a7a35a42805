//! The model of run times, and the format of checkpoints.

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use shallotflow_core::settings::standin::Profile;
use shallotflow_wire::control::Key;

/// Behavior that the payload of a task may request from the stand-in; any other payload means
/// default behavior.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Payload {
    /// Run time without interference, in milliseconds.
    pub(super) run_ms: Option<u64>,
    /// Whether the task fails when its work is done.
    pub(super) fails: bool,
    /// Actual memory use, in MiB.
    pub(super) memory_mib: Option<u32>,
    /// Actual processor use, in thousandths of a processor.
    pub(super) millicores: Option<u32>,
}

impl Payload {
    pub(super) fn parse(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_default()
    }
}

/// Draws the run time of one run from a log-normal distribution with stragglers, in microseconds.
pub(super) fn draw_run_time(profile: &Profile, rng: &mut SmallRng) -> f64 {
    let sigma = f64::from(profile.sigma_milli) / 1_000.0;
    let run_us = profile.median.as_micros() as f64 * (sigma * standard_normal(rng)).exp();
    if rng.random_ratio(profile.straggler_permille.min(1_000), 1_000) {
        return run_us * f64::from(profile.straggler_factor);
    }
    run_us
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn standard_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// The name of a checkpoint; it contains the progress, so that any worker can resume from it.
pub(super) fn format_checkpoint(key: &Key, number: u32, done_us: f64, total_us: f64) -> String {
    format!("{}.{}.{number}:{done_us:.0}/{total_us:.0}", key.job, key.attempt)
}

/// The work done and the total run time that a checkpoint contains, in microseconds.
pub(super) fn parse_checkpoint(checkpoint: &str) -> Option<(f64, f64)> {
    let (_, progress) = checkpoint.rsplit_once(':')?;
    let (done, total) = progress.split_once('/')?;
    Some((done.parse().ok()?, total.parse().ok()?))
}
