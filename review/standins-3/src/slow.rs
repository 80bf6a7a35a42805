//! The owner of the table is killed while the platform's store is slow.
use crate::fleet::Step;
use crate::site::{Plan, Site, KILL};
use crate::check::overlaps;
use crate::Verdict;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const RUN_FOR: Duration = Duration::from_secs(95);
/// Longest time of an answer of the slow store.
const SLOW_MS: u64 = 320;
/// Time from one job to the next, some 30 a second.
const JOB_INTERVAL: Duration = Duration::from_millis(30);

enum Trouble {
    Slow,
    Usual,
    /// The owner of the table is killed.
    Kill,
    /// It is started again.
    Restart,
}

/// What happens in a spell, and when, in milliseconds.
const SPELL: [(u64, Trouble); 6] = [
    (0, Trouble::Slow),
    (500, Trouble::Kill),
    (2_400, Trouble::Restart),
    (2_600, Trouble::Kill),
    (4_400, Trouble::Usual),
    (4_500, Trouble::Restart),
];
const SPELL_LENGTH: Duration = Duration::from_millis(5_100);

pub fn run(root: &Path, record: &Path, trouble: bool) -> Result<Verdict, String> {
    let plan = Plan { entries: 4, workers: 8, cpu: 8_000, memory: 16_000, max_attempts: 2 };
    let mut site = Site::start(root, record, &plan)?;
    let step = Step { count: 2, cpu: 300, memory: 300, work: Duration::from_millis(600), ..Step::default() };
    let until = Instant::now() + RUN_FOR;
    let (mut spells, mut kills, mut jobs) = (0, 0, 0);
    let mut next_job = Instant::now();
    let fleet = site.fleet.clone();
    while Instant::now() < until {
        spells += 1;
        let begun = Instant::now();
        let mut down = None;
        let mut steps = SPELL.iter().peekable();
        while Instant::now() < begun + SPELL_LENGTH {
            let now = Instant::now();
            if let Some((_, step)) = steps.next_if(|(at, _)| trouble && now >= begun + Duration::from_millis(*at)) {
                match step {
                    Trouble::Slow => {
                        site.store.set_slow(SLOW_MS);
                        fleet.note("the store is slow");
                    }
                    Trouble::Usual => {
                        site.store.set_slow(0);
                        fleet.note("the store is as usual");
                    }
                    Trouble::Kill => {
                        down = site.owner();
                        if let Some(owner) = down {
                            site.entries[owner].signal(KILL);
                            kills += 1;
                            fleet.note(&format!("{} is killed", site.entries[owner].name));
                        }
                    }
                    Trouble::Restart => {
                        if let Some(owner) = down.take() {
                            site.entries[owner].end();
                            site.entries[owner].start();
                            fleet.note(&format!("{} starts again", site.entries[owner].name));
                        }
                    }
                }
            }
            if now >= next_job {
                next_job = now + JOB_INTERVAL;
                jobs += 1;
                let (id, body) = site.job(&step);
                // The balancer passes over an entry that is down.
                let running: Vec<usize> = (0..site.entries.len()).filter(|entry| down != Some(*entry)).collect();
                let first = running[jobs % running.len()];
                let sender = site.sender();
                thread::spawn(move || sender.submit(first, &id, &body));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
    thread::sleep(Duration::from_millis(3_000));
    let now = fleet.now_ms();
    let records = fleet.state.lock().unwrap().records.clone();
    let found = overlaps(&records, now);
    for line in &found {
        fleet.note(&format!("TWICE: {line}"));
    }
    let text = format!("{spells} spells, {kills} kills, {jobs} jobs, {} starts, {} tasks ran twice at a time", records.len(), found.len());
    fleet.note(&text);
    Ok(Verdict { held: found.is_empty(), text })
}
