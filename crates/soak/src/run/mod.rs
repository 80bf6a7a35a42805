//! One soak from start to finish.
//!
//! - [`run`]: starts the processes, applies the load and the faults, and checks the guarantees.
//! - [`Summary`]: the result.
//! - `Soak`: a soak in progress.

mod action;
mod soak;
mod summary;

pub use summary::Summary;

use crate::fault::{self, Targets};
use crate::history::History;
use crate::load::Caller;
use crate::operator::Operator;
use crate::options::Options;
use crate::testbed::{DOMAINS, ENTRIES, Testbed};
use action::Action;
use anyhow::Context;
use futures_channel::mpsc::unbounded;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotflow_runtime::executor;
use shallotflow_runtime::stop::{Level, Stop};
use soak::Soak;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of jobs whose tasks run until the end.
const LASTING_JOBS: u32 = 3;

/// Runs a soak.
///
/// # Errors
///
/// Fails if a program is missing or an address is in use. A violated guarantee is not an error.
pub fn run(options: &Options) -> anyhow::Result<Summary> {
    let stop = Stop::on_signals()?;
    let program = std::env::current_exe()?;
    let program_directory =
        program.parent().context("the path of this program has no parent directory")?.to_owned();
    let programs = options.programs.clone().unwrap_or(program_directory);
    let name = format!("shallotflow-soak-{}-{}", options.seed, std::process::id());
    let directory = options.keep.clone().unwrap_or_else(|| std::env::temp_dir().join(name));
    std::fs::create_dir_all(&directory)
        .with_context(|| format!("cannot create {}", directory.display()))?;
    let mut summary = executor::run(soak(options, &programs, &directory, stop))??;
    if summary.violations.is_empty() && options.keep.is_none() {
        std::fs::remove_dir_all(&directory)?;
    } else {
        summary.kept = Some(directory);
    }
    Ok(summary)
}

async fn soak(
    options: &Options,
    programs: &Path,
    directory: &Path,
    stop: Stop,
) -> anyhow::Result<Summary> {
    let (sender, events) = unbounded();
    let testbed = Testbed::new(options.processes, programs, directory, sender)?;
    let history: Rc<RefCell<History>> = Rc::default();
    let operator = Operator::new(testbed.store_address, history.clone());
    let caller = Caller::new(testbed.callers.clone(), history);
    let summary =
        Summary { seed: options.seed, processes: options.processes, ..Summary::default() };
    let mut soak = Soak::new(testbed, caller, operator, events, summary);
    for child in soak.testbed.all() {
        child.start()?;
    }
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let length = Duration::from_secs_f64(options.minutes.max(0.0) * 60.0);
    let targets =
        Targets { processes: options.processes, entries: ENTRIES, links: soak.testbed.links.len() };
    let started = Instant::now();
    // Generators of their own keep the jobs and other faults of a seed as they were without these.
    let mut evacuation_rng = SmallRng::seed_from_u64(!options.seed);
    let evacuations = fault::evacuations(&mut evacuation_rng, DOMAINS, length);
    let mut loss_rng = SmallRng::seed_from_u64(options.seed.reverse_bits());
    let losses = fault::losses(&mut loss_rng, targets.links, length);
    let faults = fault::schedule(&mut rng, targets, length);
    for injection in faults.into_iter().chain(evacuations).chain(losses) {
        soak.schedule(started + injection.at, Action::Inject(injection));
    }
    for number in 0..LASTING_JOBS {
        soak.schedule(started + length * number / LASTING_JOBS, Action::SubmitLasting(number));
    }
    soak.load(&mut rng, started + length, &stop).await?;
    soak.settle(&stop).await?;
    soak.summary.interrupted = stop.level() > Level::Run;
    Ok(soak.finish())
}
