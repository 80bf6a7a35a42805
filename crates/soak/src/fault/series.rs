use super::{Fault, Planned, Targets};
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

fn ms(rng: &mut SmallRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Faults within `length`, in series that overlap.
pub fn plan(rng: &mut SmallRng, targets: Targets, length: Duration) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = ms(rng, 500..2_000);
    while at < length {
        series(rng, targets, at, &mut planned);
        at += ms(rng, 300..2_500);
    }
    planned.retain(|planned| planned.at < length);
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// One fault, several alike, or one that strikes a group at once.
fn series(rng: &mut SmallRng, targets: Targets, at: Duration, planned: &mut Vec<Planned>) {
    let entries = 1..=targets.entries;
    let group: Vec<Fault> = match rng.random_range(0..12) {
        // All entries, or all but one.
        0 => entries.skip(rng.random_range(0..2)).map(Fault::Kill).collect(),
        1 => entries.map(Fault::Pause).collect(),
        // The store is away for everyone.
        2 => vec![Fault::Pause(0)],
        3 => {
            let link = rng.random_range(0..targets.links);
            vec![Fault::Silence(link, true, true), Fault::Reset(link)]
        }
        _ => (0..rng.random_range(1..4)).map(|_| single(rng, targets)).collect(),
    };
    let together = rng.random_range(0..3) > 0;
    let lasts = ms(rng, 200..4_000);
    let mut at = at;
    for fault in group {
        planned.push(Planned { at, lasts, fault });
        if !together {
            at += ms(rng, 20..500);
        }
    }
}

fn single(rng: &mut SmallRng, targets: Targets) -> Fault {
    let process = rng.random_range(1..targets.processes);
    let link = rng.random_range(0..targets.links);
    match rng.random_range(0..9) {
        0 | 1 => Fault::Kill(process),
        2 => Fault::Stop(process),
        3 | 4 => Fault::Pause(process),
        5 => Fault::Delay(link, ms(rng, 20..400)),
        6 => Fault::Reset(link),
        7 => Fault::Silence(link, true, true),
        _ => {
            let there = rng.random_range(0..2) == 0;
            Fault::Silence(link, there, !there)
        }
    }
}
