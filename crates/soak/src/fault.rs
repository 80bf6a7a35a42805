//! The series of faults that a seed makes.

use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed, and started again after a while.
    Kill(usize),
    /// A process is told to stop, and started again after a while.
    Stop(usize),
    /// A process stands still for a while.
    Pause(usize),
    /// Every chunk of bytes on a link is late for a while.
    Delay(usize, Duration),
    /// The connections of a link break.
    Reset(usize),
    /// A link passes nothing on for a while: there, back, or either.
    Silence(usize, bool, bool),
}

impl Fault {
    /// The kind, for the report.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Kill(_) => "kill",
            Self::Stop(_) => "stop",
            Self::Pause(_) => "pause",
            Self::Delay(..) => "delay",
            Self::Reset(_) => "reset",
            Self::Silence(_, true, true) => "silence",
            Self::Silence(..) => "one-way cut",
        }
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// When it comes, after the start of the load.
    pub at: Duration,
    /// How long it lasts, or a process is away.
    pub lasts: Duration,
    /// What goes wrong.
    pub fault: Fault,
}

/// What there is to go wrong.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Processes; the first one is the store, which keeps its data in memory and is only paused.
    pub processes: usize,
    /// Entries among them, from the second one on.
    pub entries: usize,
    /// Links.
    pub links: usize,
}

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
