//! `slopes`: measures the resource use that each further agent, target and task adds.

use crate::report;
use crate::run::output;
use crate::slope::fit::Fit;
use crate::slope::{processes, tables};
use crate::testbed::Testbed;
use bpaf::Bpaf;
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Options of `slopes`
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seconds of measurement for each number of agents
    #[bpaf(argument("N"), fallback(5))]
    pub seconds: u64,
    /// The largest number of agents
    #[bpaf(argument("N"), fallback(160))]
    pub agents: usize,
    /// Where to write the results as JSON
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// `guild`, `merkjagerd` or the path of an INI file
    #[bpaf(positional("FLOOR"), fallback("guild".to_owned()))]
    pub testbed: String,
}

/// The measured points.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Slopes {
    /// Testbeds without load, by number of agents.
    pub processes: Vec<processes::Point>,
    /// Choices among targets.
    pub routes: Vec<tables::Point>,
    /// Submissions to the table of ledgers.
    pub jobs: Vec<tables::Point>,
}

impl Options {
    /// Measures and prints points and slopes.
    ///
    /// # Errors
    ///
    /// Fails when the testbed cannot be read, a process cannot start or the resource use cannot be
    /// read.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let testbed = Testbed::load(&self.testbed)?;
        let mut slopes = Slopes::default();
        for size in tables::TARGETS {
            slopes.routes.push(tables::routes(size)?);
        }
        for size in tables::TASKS {
            slopes.jobs.push(tables::jobs(size)?);
        }
        for agents in processes::SIZES.into_iter().filter(|agents| *agents <= self.agents) {
            eprintln!("{agents} agents");
            let span = Duration::from_secs(self.seconds);
            slopes.processes.push(processes::measure(&testbed, agents, span)?);
        }
        println!("{}", process_table(&slopes.processes));
        println!("{}", size_table("targets", "choice", &slopes.routes));
        println!("{}", size_table("jobs", "submission", &slopes.jobs));
        output::json(self.json.as_deref(), &slopes)?;
        Ok(ExitCode::SUCCESS)
    }
}

/// A column of the table of processes.
type Column = (&'static str, fn(&processes::Point) -> f64);

const COLUMNS: [Column; 7] = [
    ("agents, millicores", |point| point.agents_millicores),
    ("entries, millicores", |point| point.entries_millicores),
    ("workers, millicores", |point| point.workers_millicores),
    ("memory, MiB", |point| point.resident_mib),
    ("store reads/s", |point| point.store_reads),
    ("store writes/s", |point| point.store_writes),
    ("loopback bytes/s", |point| point.loopback_bytes),
];

fn process_table(points: &[processes::Point]) -> String {
    let mut header = vec!["agents"];
    header.extend(COLUMNS.iter().map(|(name, _)| *name));
    let mut rows: Vec<Vec<String>> = points
        .iter()
        .map(|point| {
            let values = COLUMNS.iter().map(|(_, value)| format!("{:.2}", value(point)));
            std::iter::once(point.agents.to_string()).chain(values).collect()
        })
        .collect();
    let slope = |value: fn(&processes::Point) -> f64| {
        let points: Vec<_> =
            points.iter().map(|point| (point.agents as f64, value(point))).collect();
        format!("{:.3}", Fit::through(&points).slope)
    };
    let slopes = COLUMNS.iter().map(|(_, value)| slope(*value));
    rows.push(std::iter::once("each adds".to_owned()).chain(slopes).collect());
    report::rows(&header, &rows)
}

fn size_table(rows_name: &str, operation: &str, points: &[tables::Point]) -> String {
    let operation = format!("one {operation}, ns");
    let header = [rows_name, &operation, "memory, MiB"];
    let mut rows: Vec<Vec<String>> = points
        .iter()
        .map(|point| {
            let ns = format!("{:.0}", point.operation_ns);
            vec![point.size.to_string(), ns, format!("{:.1}", point.resident_mib)]
        })
        .collect();
    let fit = |value: fn(&tables::Point) -> f64| {
        let points: Vec<_> = points.iter().map(|point| (point.size as f64, value(point))).collect();
        Fit::through(&points).slope
    };
    let memory_bytes = fit(|point| point.resident_mib) * 1024.0 * 1024.0;
    let operation_ns = format!("{:.5}", fit(|point| point.operation_ns));
    rows.push(vec!["each adds".to_owned(), operation_ns, format!("{memory_bytes:.0} bytes")]);
    report::rows(&header, &rows)
}
