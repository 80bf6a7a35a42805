//! `shallotflow delays FILE`.

use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Arguments of `delays`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    /// Log of entries; other lines than those on ended jobs are passed over
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// A log line on an ended job; `delay` holds milliseconds by part.
#[derive(Deserialize)]
struct Ended {
    queue: String,
    late: bool,
    took_ms: u64,
    work: u64,
    last_task_ms: u64,
    delay: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
struct Line {
    message: String,
    details: serde_json::Value,
}

/// The jobs of one queue.
#[derive(Default)]
struct Queue {
    took_ms: Vec<u64>,
    work: u64,
    late: Vec<Ended>,
}

/// The part of a delay in which the work itself was done.
const RUN: &str = "run_ms";

/// Prints by queue how many jobs ended late, and where their time went.
///
/// # Errors
///
/// Fails if the file cannot be read or names no ended job.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let path = arguments.file.display();
    // Logs can hold bytes of other programs.
    let bytes = std::fs::read(&arguments.file).map_err(|error| {
        Error::Argument(format!("{path} cannot be read ({error}); name a log file"))
    })?;
    let mut queues: BTreeMap<String, Queue> = BTreeMap::new();
    for ended in String::from_utf8_lossy(&bytes).lines().filter_map(parse) {
        let queue = queues.entry(ended.queue.clone()).or_default();
        queue.took_ms.push(ended.took_ms);
        queue.work += ended.work;
        if ended.late {
            queue.late.push(ended);
        }
    }
    if queues.is_empty() {
        let message = format!("{path} has no line on an ended job; name the log of an owner");
        return Err(Error::Argument(message));
    }
    let rows: Vec<Vec<String>> =
        queues.iter_mut().flat_map(|(name, queue)| queue.rows(name)).collect();
    let columns = [
        "queue",
        "jobs",
        "median",
        "late",
        "work late",
        "cause",
        "jobs late by it",
        "work late by it",
        "seconds",
    ];
    let json = json!(rows);
    Ok(Output::table(&columns, rows, "", json))
}

/// Returns the ended job that a line describes. A line may have a prefix before the JSON object.
fn parse(line: &str) -> Option<Ended> {
    let line: Line = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    (line.message == "ended").then(|| serde_json::from_value(line.details).ok())?
}

impl Queue {
    /// Returns one row for each cause, the one with the most work first. A job counts for the cause that
    /// took most of its time besides the work itself.
    fn rows(&mut self, name: &str) -> Vec<Vec<String>> {
        self.took_ms.sort_unstable();
        let share = |work: u64| format!("{:.0}%", 100.0 * work as f64 / self.work.max(1) as f64);
        let mut causes: BTreeMap<&str, (usize, u64, u64)> = BTreeMap::new();
        for job in &self.late {
            let parts = || job.delay.iter().filter(|(part, _)| *part != RUN);
            for (part, ms) in parts() {
                causes.entry(part).or_default().2 += ms;
            }
            if let Some((part, _)) = parts().max_by_key(|(_, ms)| **ms) {
                let (jobs, work, _) = causes.entry(part).or_default();
                (*jobs, *work) = (*jobs + 1, *work + job.work);
            }
        }
        let last_task_ms: u64 = self.late.iter().map(|job| job.last_task_ms).sum();
        let seconds = |ms: u64| format!("{:.1}", ms as f64 / 1_000.0);
        let mut causes: Vec<_> = causes.into_iter().filter(|(_, (_, _, ms))| *ms > 0).collect();
        causes.sort_by_key(|(_, (_, work, ms))| std::cmp::Reverse((*work, *ms)));
        let late_work = self.late.iter().map(|job| job.work).sum();
        let head = [
            name.to_owned(),
            self.took_ms.len().to_string(),
            seconds(self.took_ms[self.took_ms.len() / 2]),
            self.late.len().to_string(),
            share(late_work),
        ];
        let row = |cells: [String; 4]| head.iter().cloned().chain(cells).collect::<Vec<_>>();
        let mut rows: Vec<Vec<String>> = causes
            .into_iter()
            .map(|(part, (jobs, work, ms))| {
                let cause = part.trim_end_matches("_ms").replace('_', "-");
                row([cause, jobs.to_string(), share(work), seconds(ms)])
            })
            .collect();
        let (none, wait) = (String::new(), "for the last task of a step".to_owned());
        rows.push(row([wait, none.clone(), none, seconds(last_task_ms)]));
        rows
    }
}
