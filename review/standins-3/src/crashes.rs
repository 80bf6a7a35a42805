//! Workers go down and up by turns under a gang that has just begun.
use crate::fleet::Step;
use crate::site::{Plan, Site};
use crate::Verdict;
use std::path::Path;
use std::thread;
use std::time::Duration;

const WORKERS: usize = 8;
/// Time from one crash to the next, and how long a worker is down.
const GAP: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_millis(1_000);
/// Crashes in each of the spells, and the pause between two spells.
const CRASHES: usize = 4;
const SPELLS: usize = 3;
const PAUSE: Duration = Duration::from_secs(6);

pub fn run(root: &Path, record: &Path, trouble: bool) -> Result<Verdict, String> {
    let plan = Plan { entries: 3, workers: WORKERS, cpu: 4_000, memory: 16_000, max_attempts: 2 };
    let mut site = Site::start(root, record, &plan)?;
    // Sound work: no run of it fails, and no worker goes down because of it.
    let step = Step { count: 6, cpu: 500, memory: 500, gang: true, work: Duration::from_secs(100), ..Step::default() };
    let (id, body) = site.job(&step);
    if !site.submit(0, &id, &body, Duration::from_secs(5)) {
        return Err("the job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_millis(1_000));
    let mut crashes = 0;
    for _ in 0..SPELLS {
        for _ in 0..CRASHES {
            if trouble {
                let worker = crashes % WORKERS;
                site.fleet.crash(worker);
                let fleet = site.fleet.clone();
                thread::spawn(move || {
                    thread::sleep(DOWN);
                    fleet.up(worker);
                });
            }
            crashes += 1;
            thread::sleep(GAP);
        }
        thread::sleep(PAUSE);
    }
    thread::sleep(Duration::from_secs(10));
    let states: Vec<String> = (0..3).map(|entry| site.state(entry, &id)).collect();
    let records = site.fleet.state.lock().unwrap().records.clone();
    let failed = records.iter().filter(|record| record.how == "failed").count();
    let text = format!("the entries show job {id} as {states:?}; {failed} of its runs have ended `failed`");
    site.fleet.note(&text);
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        site.keep_logs(Path::new(&folder));
    }
    let held = failed > 0 || states.iter().all(|state| state == "running");
    Ok(Verdict { held, text })
}
