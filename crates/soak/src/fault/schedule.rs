use super::{Fault, Injection, Targets};
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Minimum time between two evacuations of one failure domain. The store may be paused for some
/// seconds while the first one begins and while it ends.
const EVACUATION_PAUSE: Duration = Duration::from_secs(12);

fn random_ms(rng: &mut SmallRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Schedules faults within `length`, in groups that overlap.
pub fn schedule(rng: &mut SmallRng, targets: Targets, length: Duration) -> Vec<Injection> {
    let mut injections = Vec::new();
    let mut at = random_ms(rng, 500..2_000);
    while at < length {
        add_group(rng, targets, at, &mut injections);
        at += random_ms(rng, 300..2_500);
    }
    injections.retain(|injection| injection.at < length);
    injections.sort_by_key(|injection| injection.at);
    injections
}

/// Schedules evacuations within `length`; those of one failure domain do not overlap.
pub fn evacuations(rng: &mut SmallRng, domains: usize, length: Duration) -> Vec<Injection> {
    let mut injections = Vec::new();
    for domain in 0..domains {
        let mut at = random_ms(rng, 1_000..12_000);
        loop {
            // Each lasts longer than the time within which it must take effect.
            let duration = random_ms(rng, 7_000..16_000);
            if at + duration > length {
                break;
            }
            injections.push(Injection { at, duration, fault: Fault::Evacuate(domain) });
            at += duration + EVACUATION_PAUSE + random_ms(rng, 0..10_000);
        }
    }
    injections
}

/// Schedules losses of the open connections of all links, or of a part of them, within `length`.
pub fn losses(rng: &mut SmallRng, links: usize, length: Duration) -> Vec<Injection> {
    let mut injections = Vec::new();
    let mut at = random_ms(rng, 1_000..4_000);
    while at < length {
        let percent = [100, 50, 10][rng.random_range(0..3)];
        let lost = (0..links).filter(|_| rng.random_range(0..100) < percent);
        let fault = |link| Injection { at, duration: Duration::ZERO, fault: Fault::LoseOpen(link) };
        injections.extend(lost.map(fault));
        at += random_ms(rng, 500..7_000);
    }
    injections
}

/// Adds a group of faults: random ones, or the same one for all entries, simultaneous or staggered.
fn add_group(rng: &mut SmallRng, targets: Targets, at: Duration, injections: &mut Vec<Injection>) {
    let entries = 1..=targets.entries;
    let group: Vec<Fault> = match rng.random_range(0..12) {
        // All entries, or all but the first one.
        0 => entries.skip(rng.random_range(0..2)).map(Fault::Kill).collect(),
        1 => entries.map(Fault::Pause).collect(),
        // The store is unavailable to everyone.
        2 => vec![Fault::Pause(0)],
        3 => {
            let link = rng.random_range(0..targets.links);
            vec![Fault::Silence(link, true, true), Fault::Reset(link)]
        }
        _ => (0..rng.random_range(1..4)).map(|_| random_fault(rng, targets)).collect(),
    };
    let simultaneous = rng.random_range(0..3) > 0;
    let duration = random_ms(rng, 200..4_000);
    let mut at = at;
    for fault in group {
        injections.push(Injection { at, duration, fault });
        if !simultaneous {
            at += random_ms(rng, 20..500);
        }
    }
}

fn random_fault(rng: &mut SmallRng, targets: Targets) -> Fault {
    let process = rng.random_range(1..targets.processes);
    let link = rng.random_range(0..targets.links);
    match rng.random_range(0..9) {
        0 | 1 => Fault::Kill(process),
        2 => Fault::Stop(process),
        3 | 4 => Fault::Pause(process),
        5 => Fault::Delay(link, random_ms(rng, 20..400)),
        6 => Fault::Reset(link),
        7 => Fault::Silence(link, true, true),
        _ => {
            let forward = rng.random_range(0..2) == 0;
            Fault::Silence(link, forward, !forward)
        }
    }
}
