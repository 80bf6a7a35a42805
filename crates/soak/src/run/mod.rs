//! One soak from start to end.
//!
//! - [`run`]: starts the processes, plays the faults and checks.
//! - [`Summary`]: what was found.
//! - `Soak`: the soak while it goes on.

mod due;
mod soak;
mod summary;

pub use summary::Summary;

use crate::book::Book;
use crate::fault::{self, Targets};
use crate::floor::{ENTRIES, Floor};
use crate::load::Caller;
use crate::options::Options;
use anyhow::Context;
use due::Due;
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

/// Runs a soak.
///
/// # Errors
///
/// Fails when a program or an address is missing, not when a promise is broken.
pub fn run(options: &Options) -> anyhow::Result<Summary> {
    let stop = Stop::on_signals()?;
    let own = std::env::current_exe()?;
    let beside = own.parent().context("this program is in no directory")?.to_owned();
    let programs = options.programs.clone().unwrap_or(beside);
    let name = format!("shallotflow-soak-{}-{}", options.seed, std::process::id());
    let directory = options.keep.clone().unwrap_or_else(|| std::env::temp_dir().join(name));
    std::fs::create_dir_all(&directory)
        .with_context(|| format!("{} cannot be made", directory.display()))?;
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
    let (says, facts) = unbounded();
    let floor = Floor::new(options.processes, programs, directory, says)?;
    let book: Rc<RefCell<Book>> = Rc::default();
    let caller = Caller::new(floor.callers.clone(), book);
    let summary =
        Summary { seed: options.seed, processes: options.processes, ..Summary::default() };
    let mut soak = Soak::new(floor, caller, facts, summary);
    for child in soak.floor.all() {
        child.start()?;
    }
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let length = Duration::from_secs_f64(options.minutes.max(0.0) * 60.0);
    let targets =
        Targets { processes: options.processes, entries: ENTRIES, links: soak.floor.links.len() };
    let begun = Instant::now();
    for planned in fault::plan(&mut rng, targets, length) {
        soak.plan(begun + planned.at, Due::Strike(planned));
    }
    soak.load(&mut rng, begun + length, &stop).await?;
    soak.settle(&stop).await?;
    soak.summary.interrupted = stop.level() > Level::Run;
    Ok(soak.finish())
}
