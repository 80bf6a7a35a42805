//! How fast tasks that fill may work beside tasks that serve.

use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::disturbance::Rates;
use std::collections::BTreeMap;
use std::time::Duration;

/// The share of a target above which the tasks that fill beside it get no faster.
const NEAR: f64 = 0.85;
/// The share of a target at which a task that fills begins its work.
const BEGIN: f64 = 0.7;
/// Steps down while a target is missed, percent.
const STEPS: [u8; 2] = [25, 0];
/// A step up once targets are kept, percent.
const UP: u8 = 20;
/// Shortest time between two steps: the worker's figures cover half a second.
const STEP_TIME: Duration = Duration::from_millis(550);
/// An image that adds this share of all that is added to a victim slows down for it.
const CULPRIT: f64 = 0.2;
/// Below this in all, what is known does not explain the miss.
const EXPLAINED: f64 = 0.05;
/// A target that is missed for this long stops all tasks that fill: half of what users accept.
const LONGEST_MISS: Duration = Duration::from_millis(2_000);

/// A serving task as the controller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Served {
    /// What it runs.
    pub image: Name,
    /// Its tail latency over about the last half second, milliseconds.
    pub tail_ms: u32,
    /// The bound of its tail latency, milliseconds.
    pub target_ms: u32,
}

impl Served {
    fn measure(&self) -> f64 {
        f64::from(self.tail_ms) / f64::from(self.target_ms.max(1))
    }
}

/// The paces of the images that fill at one worker.
///
/// An image disturbs some serving images much and others little, so only the culprits slow down.
/// The load of serving tasks swings within seconds: a missed target slows the culprits at once, and
/// a kept one lets them get faster in small steps, so that the pace does not follow each swing.
#[derive(Debug, Default)]
pub struct Controller {
    paces: BTreeMap<Name, u8>,
    next: Time,
    missed: Option<Time>,
}

impl Controller {
    /// The pace of each image for the next half second, percent; `fills` are the images with their
    /// shares of the worker at full speed.
    pub fn decide(
        &mut self,
        served: &[Served],
        fills: &BTreeMap<Name, f64>,
        rates: &Rates,
        now: Time,
    ) -> &BTreeMap<Name, u8> {
        self.paces.retain(|image, _| fills.contains_key(image));
        let fresh: Vec<Name> =
            fills.keys().filter(|image| !self.paces.contains_key(*image)).cloned().collect();
        for image in fresh {
            let pace = self.first(&image, served, fills, rates);
            self.paces.insert(image, pace);
        }
        if !self.next.passed(now) {
            return &self.paces;
        }
        self.note_miss(served, now);
        let before = self.paces.clone();
        let mut held: BTreeMap<Name, bool> = BTreeMap::new();
        for victim in served {
            let measure = victim.measure();
            if measure <= NEAR {
                continue;
            }
            for image in self.culprits(&victim.image, fills, rates) {
                *held.entry(image).or_default() |= measure > 1.0;
            }
        }
        let stop = self.missed.is_some_and(|since| since.after(LONGEST_MISS).passed(now));
        for (image, pace) in &mut self.paces {
            *pace = match held.get(image) {
                _ if stop => 0,
                Some(true) => STEPS.iter().find(|step| **step < *pace).copied().unwrap_or(0),
                Some(false) => *pace,
                None => pace.saturating_add(UP).min(100),
            };
        }
        if self.paces != before {
            self.next = now.after(STEP_TIME);
        }
        &self.paces
    }

    fn note_miss(&mut self, served: &[Served], now: Time) {
        let missed = served.iter().any(|victim| victim.measure() > 1.0);
        self.missed = missed.then(|| self.missed.unwrap_or(now));
    }

    /// The pace with which an image begins.
    fn first(
        &self,
        image: &Name,
        served: &[Served],
        fills: &BTreeMap<Name, f64>,
        rates: &Rates,
    ) -> u8 {
        let share = fills.get(image).copied().unwrap_or(0.0);
        let fitting = served.iter().map(|victim| {
            let added = rates.added(&victim.image, image) * share;
            let left = BEGIN - victim.measure().max(rates.base(&victim.image));
            if added <= EXPLAINED { 1.0 } else { (left / added).clamp(0.1, 1.0) }
        });
        percent(fitting.fold(1.0, f64::min))
    }

    /// The images that add most to what `victim` measures; all of them when nothing explains it.
    fn culprits(&self, victim: &Name, fills: &BTreeMap<Name, f64>, rates: &Rates) -> Vec<Name> {
        let added = |image: &Name| {
            let pace = f64::from(self.paces.get(image).copied().unwrap_or(100)) / 100.0;
            rates.added(victim, image) * fills.get(image).copied().unwrap_or(0.0) * pace
        };
        let all: f64 = fills.keys().map(added).sum();
        let culprit = |image: &&Name| all < EXPLAINED || added(image) >= CULPRIT * all;
        fills.keys().filter(culprit).cloned().collect()
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn percent(share: f64) -> u8 {
    (share.clamp(0.0, 1.0) * 100.0) as u8
}
