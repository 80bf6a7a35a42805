//! Testbeds of growing numbers of agents, without load.

use super::usage;
use crate::cluster::{Cluster, Settings};
use crate::testbed::Testbed;
use serde::Serialize;
use std::time::Duration;

/// The numbers of agents to measure.
pub const SIZES: [usize; 5] = [10, 20, 40, 80, 160];

const WARM_UP: Duration = Duration::from_secs(2);

/// The resource use of a testbed without load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Number of agents, each with its worker.
    pub agents: usize,
    /// Processor time of all agents, thousandths of one processor.
    pub agents_millicores: f64,
    /// Processor time of all entries, thousandths of one processor.
    pub entries_millicores: f64,
    /// Processor time of the stand-ins of workers, thousandths of one processor.
    pub workers_millicores: f64,
    /// Resident memory that the testbed adds to the process, including the stand-ins, mebibytes.
    pub resident_mib: f64,
    /// Reads of the store per second.
    pub store_reads: f64,
    /// Writes to the store and lease renewals per second.
    pub store_writes: f64,
    /// Bytes per second over the loopback device, including those of other programs.
    pub loopback_bytes: f64,
}

/// Measures a testbed of `agents` agents for `span`.
///
/// # Errors
///
/// Fails when a process cannot start or the resource use cannot be read.
pub fn measure(testbed: &Testbed, agents: usize, span: Duration) -> anyhow::Result<Point> {
    let mut testbed = testbed.clone();
    testbed.site.workers = agents;
    let resident_before = usage::resident_bytes()?;
    let cluster = Cluster::start(Settings::new(testbed, 1))?;
    std::thread::sleep(WARM_UP);
    let before = Reading::read(&cluster)?;
    std::thread::sleep(span);
    let after = Reading::read(&cluster)?;
    let resident = usage::resident_bytes()?.saturating_sub(resident_before);
    cluster.stop()?;
    let seconds = span.as_secs_f64();
    let millicores = |after: Duration, before: Duration| {
        after.saturating_sub(before).as_secs_f64() * 1e3 / seconds
    };
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    Ok(Point {
        agents,
        agents_millicores: millicores(after.agents, before.agents),
        entries_millicores: millicores(after.entries, before.entries),
        workers_millicores: millicores(after.workers, before.workers),
        resident_mib: resident as f64 / 1024.0 / 1024.0,
        store_reads: rate(after.reads, before.reads),
        store_writes: rate(after.writes, before.writes),
        loopback_bytes: rate(after.bytes, before.bytes),
    })
}

struct Reading {
    agents: Duration,
    entries: Duration,
    workers: Duration,
    reads: u64,
    writes: u64,
    bytes: u64,
}

impl Reading {
    fn read(cluster: &Cluster) -> anyhow::Result<Self> {
        let store = cluster.platform.counters.read();
        Ok(Self {
            agents: usage::processor_time("agent-")?,
            entries: usage::processor_time("entry-")?,
            workers: usage::processor_time("worker-")?,
            reads: store.reads,
            writes: store.writes + store.keep_alives,
            bytes: usage::loopback_bytes()?,
        })
    }
}
