//! What operators see of a task that does not run.

use super::{Process, Shared, job, run, until};
use serde_json::Value;
use shallotflow_core::graph::Id;
use shallotflow_runtime::logs;
use shallotflow_runtime::program::Program;
use shallotflow_scheduler::entry::{Cancellation, Settings, Submission};
use std::io::{Result, Write};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PROCESS: &str = "waits";

/// The lines that were logged.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.0.lock().expect("the lines").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl Lines {
    /// Returns the details of the lines on waits of this test's process.
    fn waits(&self) -> Vec<Value> {
        let bytes = self.0.lock().expect("the lines").clone();
        let text = String::from_utf8_lossy(&bytes);
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let own = lines.filter(|line| line["process"] == PROCESS && line["message"] == "wait");
        own.map(|line| line["details"].clone()).collect()
    }
}

fn settings(logged_wait: Duration) -> Settings {
    Settings { wait_interval: Duration::from_millis(2), logged_wait, ..Process::settings() }
}

async fn owner(settings: Settings, shared: &Rc<Shared>) -> Process {
    let owner = Process::start_with(settings, "a", 1, shared);
    until(|| owner.owns()).await;
    owner
}

#[test]
fn a_long_wait_is_logged_and_counted_until_it_ends() {
    run(async |shared| {
        let program = Program::new("entry", &PROCESS.into(), "info").expect("a program");
        let lines = Lines::default();
        // The logger of the process: lines of tests on other threads have no process.
        spdlog::set_default_logger(logs::logger(lines.clone()).expect("a logger"));
        let owner = owner(settings(Duration::from_millis(20)), &shared).await;
        let gauge = |reason| format!("shallotflow_graph_waiting_tasks{{reason=\"{reason}\"}}");
        let shows = |line: String| program.metrics().render().lines().any(|own| *own == line);

        // No worker is known yet.
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        until(|| !lines.waits().is_empty()).await;
        until(|| shows(format!("{} 1", gauge("unsuited")))).await;
        let first = lines.waits()[0].clone();
        assert_eq!((&first["event"], &first["reason"]), (&"waits".into(), &"unsuited".into()));
        assert_eq!((&first["tasks"], &first["others"]), (&1.into(), &0.into()));
        assert!(first["waited_ms"].as_u64() >= Some(20), "{first}");

        while !owner.orders_a_start().await {}
        let events = || {
            let waits = lines.waits();
            waits.iter().map(|line| line["event"].to_string()).collect::<Vec<_>>()
        };
        until(|| events().iter().any(|event| event == "\"changed\"")).await;
        let changed = lines.waits().into_iter().find(|line| line["event"] == "changed");
        assert_eq!(changed.expect("a line")["agents"][0], super::AGENT);

        let cancelled = owner.entry.cancel(&job().queue.name, Id(1)).await;
        assert_eq!(cancelled, Cancellation::Cancelled);
        until(|| events().last().is_some_and(|event| event == "\"ended\"")).await;
        until(|| shows(format!("{} 0", gauge("unsuited")))).await;
        assert_eq!(events().iter().filter(|event| *event == "\"waits\"").count(), 1);
    });
}

#[test]
fn the_dump_of_the_owner_shows_the_reason_of_each_wait() {
    run(async |shared| {
        let owner = owner(settings(super::HANG), &shared).await;
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        until(|| owner.entry.dump()["waits"]["groups"][0]["reason"] == "unsuited").await;
        while !owner.orders_a_start().await {}
        let waits = owner.entry.dump()["waits"].clone();
        let group = &waits["groups"][0];
        assert_eq!((&group["tasks"], &group["agent_count"]), (&1.into(), &1.into()), "{waits}");
        assert!(group["waited_ms"].is_u64(), "{waits}");
        assert_eq!((&waits["omitted"], &waits["remnants"]), (&0.into(), &0.into()));
        assert_eq!(waits["last_job"], Value::Null, "all jobs are covered");
    });
}

#[test]
fn an_entry_that_gives_the_table_up_counts_no_waits() {
    run(async |shared| {
        let program = Program::new("entry", &PROCESS.into(), "info").expect("a program");
        let owner = owner(settings(super::HANG), &shared).await;
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        let waiting = || {
            let text = program.metrics().render();
            let own = text.lines().filter(|line| line.contains("waiting_tasks{"));
            own.filter(|line| !line.ends_with(" 0")).count()
        };
        until(|| waiting() == 1).await;
        owner.entry.leave().await;
        assert_eq!(waiting(), 0);
        assert_eq!(owner.entry.dump()["waits"], Value::Null);
    });
}
