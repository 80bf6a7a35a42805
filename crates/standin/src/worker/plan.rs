//! How long work runs and what a checkpoint holds.

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use shallotflow_core::settings::standin::Profile;
use shallotflow_wire::control::Key;

/// What a task's payload may ask of the stand-in; other payloads ask for nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Payload {
    /// Run time alone, milliseconds.
    pub(super) run_ms: Option<u64>,
    /// Whether it fails at its end.
    pub(super) fails: bool,
    /// What it really uses of memory, mebibytes.
    pub(super) memory_mib: Option<u32>,
    /// What it really uses of processors, thousandths of one.
    pub(super) millicores: Option<u32>,
}

impl Payload {
    pub(super) fn parse(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_default()
    }
}

/// Draws the run time of one run, microseconds.
pub(super) fn draw(profile: &Profile, rng: &mut SmallRng) -> f64 {
    let sigma = f64::from(profile.sigma_milli) / 1_000.0;
    let run_us = profile.median.as_micros() as f64 * (sigma * standard_normal(rng)).exp();
    if rng.random_ratio(profile.straggler_permille.min(1_000), 1_000) {
        return run_us * f64::from(profile.straggler_factor);
    }
    run_us
}

/// One draw of the standard normal distribution, by the Box-Muller transform.
fn standard_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Names the checkpoint of a task so that any worker can resume from it.
pub(super) fn checkpoint(key: &Key, number: u32, done_us: f64, total_us: f64) -> String {
    format!("{}.{}.{number}:{done_us:.0}/{total_us:.0}", key.job, key.attempt)
}

/// The work done and the run time that a checkpoint names, microseconds.
pub(super) fn resume(checkpoint: &str) -> Option<(f64, f64)> {
    let (_, progress) = checkpoint.rsplit_once(':')?;
    let (done, total) = progress.split_once('/')?;
    Some((done.parse().ok()?, total.parse().ok()?))
}
