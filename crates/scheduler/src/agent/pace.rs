//! Paces of best-effort tasks that share a worker with services.

use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::disturbance::Rates;
use std::collections::BTreeMap;
use std::time::Duration;

/// Ratio of tail latency to target above which the best-effort tasks beside a service get no
/// faster.
const HOLD_RATIO: f64 = 0.85;
/// Ratio of tail latency to target that a new best-effort task may bring a service to.
const START_RATIO: f64 = 0.7;
/// Paces to step down to while a target is missed, in percent.
const STEPS_DOWN: [u8; 2] = [25, 0];
/// Increase per step while targets are met, in percent.
const STEP_UP: u8 = 20;
/// Minimum time between two steps: the worker's measurements cover half a second.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(550);
/// An image that causes at least this share of the disturbance of a victim slows down for it.
const CULPRIT_SHARE: f64 = 0.2;
/// Below this total, the known disturbance does not explain the miss.
const MIN_EXPLAINED: f64 = 0.05;
/// A target that is missed for this long stops all best-effort tasks: half of what users accept.
const MAX_MISS: Duration = Duration::from_millis(2_000);

/// A service as the controller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The image that it runs.
    pub image: Name,
    /// Its tail latency over about the last half second, in milliseconds.
    pub tail_ms: u32,
    /// The target of its tail latency, in milliseconds.
    pub target_ms: u32,
}

impl Service {
    fn target_ratio(&self) -> f64 {
        f64::from(self.tail_ms) / f64::from(self.target_ms.max(1))
    }
}

/// Controls the paces of the best-effort images at one worker.
///
/// An image disturbs some services much and others little, so only the culprits slow down. The load
/// of services changes within seconds: a missed target slows the culprits at once, and a target
/// that is met lets them get faster in small steps, so that the pace does not follow each change.
#[derive(Debug, Default)]
pub struct Controller {
    paces: BTreeMap<Name, u8>,
    next_step: Time,
    missed_since: Option<Time>,
}

impl Controller {
    /// Returns the pace of each image for the next half second, in percent; `best_effort` maps the
    /// images to their shares of the worker at full speed.
    pub fn decide(
        &mut self,
        services: &[Service],
        best_effort: &BTreeMap<Name, f64>,
        rates: &Rates,
        now: Time,
    ) -> &BTreeMap<Name, u8> {
        self.paces.retain(|image, _| best_effort.contains_key(image));
        let fresh: Vec<Name> =
            best_effort.keys().filter(|image| !self.paces.contains_key(*image)).cloned().collect();
        for image in fresh {
            let pace = self.initial_pace(&image, services, best_effort, rates);
            self.paces.insert(image, pace);
        }
        if !self.next_step.passed(now) {
            return &self.paces;
        }
        self.track_miss(services, now);
        let before = self.paces.clone();
        let mut throttled: BTreeMap<Name, bool> = BTreeMap::new();
        for victim in services {
            let ratio = victim.target_ratio();
            if ratio <= HOLD_RATIO {
                continue;
            }
            for image in self.culprits(victim, best_effort, rates) {
                *throttled.entry(image).or_default() |= ratio > 1.0;
            }
        }
        let stop = self.missed_since.is_some_and(|since| since.after(MAX_MISS).passed(now));
        for (image, pace) in &mut self.paces {
            *pace = match throttled.get(image) {
                _ if stop => 0,
                Some(true) => STEPS_DOWN.iter().find(|step| **step < *pace).copied().unwrap_or(0),
                Some(false) => *pace,
                None => pace.saturating_add(STEP_UP).min(100),
            };
        }
        if self.paces != before {
            self.next_step = now.after(MIN_STEP_INTERVAL);
        }
        &self.paces
    }

    fn track_miss(&mut self, services: &[Service], now: Time) {
        let missed = services.iter().any(|victim| victim.target_ratio() > 1.0);
        self.missed_since = missed.then(|| self.missed_since.unwrap_or(now));
    }

    /// The initial pace of an image, in percent.
    fn initial_pace(
        &self,
        image: &Name,
        services: &[Service],
        best_effort: &BTreeMap<Name, f64>,
        rates: &Rates,
    ) -> u8 {
        let share = best_effort.get(image).copied().unwrap_or(0.0);
        let paces = services.iter().map(|victim| {
            let added = rates.added(&victim.image, image) * share;
            let before = victim.target_ratio().max(rates.base(&victim.image));
            let headroom = Rates::headroom(before, START_RATIO);
            if added <= MIN_EXPLAINED { 1.0 } else { (headroom / added).clamp(0.1, 1.0) }
        });
        percent(paces.fold(1.0, f64::min))
    }

    /// The images to slow down for `victim`: those that disturb it most, and those whose effect on it is not
    /// known. If it would miss its target without best-effort tasks, its own load is the cause, and only
    /// the latter are left. If the known effects amount to nothing, the miss is unexplained, and all images
    /// slow down.
    fn culprits(
        &self,
        victim: &Service,
        best_effort: &BTreeMap<Name, f64>,
        rates: &Rates,
    ) -> Vec<Name> {
        let added = |image: &Name| {
            let pace = f64::from(self.paces.get(image).copied().unwrap_or(100)) / 100.0;
            let share = best_effort.get(image).copied().unwrap_or(0.0);
            rates.added(&victim.image, image) * share * pace
        };
        let all: f64 = best_effort.keys().map(added).sum();
        let explains = Rates::headroom(victim.target_ratio(), 1.0) + all >= 0.0;
        let culprit = |image: &&Name| {
            let added = added(image);
            let of_note = added >= MIN_EXPLAINED && added >= CULPRIT_SHARE * all;
            all < MIN_EXPLAINED || (explains && of_note) || !rates.knows(&victim.image, image)
        };
        best_effort.keys().filter(culprit).cloned().collect()
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn percent(share: f64) -> u8 {
    (share.clamp(0.0, 1.0) * 100.0) as u8
}
