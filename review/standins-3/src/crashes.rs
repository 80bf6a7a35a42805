//! Workers go down and up by turns under a gang that has just begun, each under another of its tasks.
use crate::fleet::Step;
use crate::site::{Plan, Site};
use crate::Verdict;
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const WORKERS: usize = 8;
const TASKS: usize = 6;
/// Time from one crash to the next, and how long a worker is down.
const GAP: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_millis(1_000);
const CRASHES: usize = 5;

pub fn run(root: &Path, record: &Path, trouble: bool) -> Result<Verdict, String> {
    let plan = Plan { entries: 3, workers: WORKERS, cpu: 4_000, memory: 16_000, max_attempts: 2 };
    let mut site = Site::start(root, record, &plan)?;
    // Sound work: no run of it fails, and no worker goes down because of it.
    let step = Step { count: TASKS, cpu: 500, memory: 500, gang: true, work: Duration::from_secs(100), ..Step::default() };
    let (id, body) = site.job(&step);
    if !site.submit(0, &id, &body, Duration::from_secs(5)) {
        return Err("the job was not accepted".to_owned());
    }
    let begun = Instant::now() + Duration::from_millis(1_000);
    for crash in 0..CRASHES as u32 {
        thread::sleep((begun + GAP * crash).saturating_duration_since(Instant::now()));
        let worker = site.fleet.worker_of(&format!("{id}.0.0.{crash}"));
        if let Some(worker) = worker.filter(|_| trouble) {
            site.fleet.crash(worker);
            let fleet = site.fleet.clone();
            thread::spawn(move || {
                thread::sleep(DOWN);
                fleet.up(worker);
            });
        }
    }
    thread::sleep(Duration::from_secs(15));
    let states: Vec<String> = (0..3).map(|entry| site.state(entry, &id)).collect();
    let records = site.fleet.state.lock().unwrap().records.clone();
    let failed = records.iter().filter(|record| record.how == "failed").count();
    let mut crashes: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records.iter().filter(|record| record.how == "crash") {
        *crashes.entry(&record.task).or_insert(0) += 1;
    }
    let most = crashes.values().max().copied().unwrap_or(0);
    let text = format!(
        "the entries show job {id} as {states:?}; {failed} of its runs have ended `failed`; {} of its {TASKS} tasks ran at a worker that crashed, each {most} time(s) at most",
        crashes.len()
    );
    site.fleet.note(&text);
    // A task under which two workers have crashed may be given up.
    let held = failed > 0 || most > 1 || states.iter().all(|state| state == "running");
    Ok(Verdict { held, text })
}
