//! The policy's tables at growing sizes.

use super::usage;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use shallotflow_core::class::Class;
use shallotflow_core::job::Spec;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::ledger::{self, ClockReading, id};
use shallotflow_policy::route;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

/// Sizes of the table of targets.
pub const TARGETS: [usize; 5] = [1_000, 2_000, 5_000, 10_000, 21_000];
/// Sizes of the ledgers' table.
pub const TASKS: [usize; 5] = [10_000, 30_000, 65_000, 130_000, 260_000];

const CHOICES: u32 = 200_000;
const DOMAINS: usize = 15;
const CALLERS: usize = 110;
const LEDGERS: u32 = 64;
const KIND: &str = "check";

/// The cost of a table of one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Number of rows in the table.
    pub size: usize,
    /// Time of one operation, nanoseconds.
    pub operation_ns: f64,
    /// Memory, mebibytes.
    pub resident_mib: f64,
}

/// Measures choices among `size` targets.
///
/// # Errors
///
/// Fails when the memory use cannot be read.
pub fn routes(size: usize) -> anyhow::Result<Point> {
    let resident = usage::resident_bytes()?;
    let mut table = route::Table::new(route::Settings::default(), "domain-0".into());
    for index in 0..size {
        let id = table.announce(target(index));
        table.observe(Time::from_millis(1), id, load(index));
    }
    let resident = usage::resident_bytes()?.saturating_sub(resident);
    let mut rng = SmallRng::seed_from_u64(1);
    let query = route::Query { kind: KIND, class: Class::Quick, tried: &[] };
    let start = Instant::now();
    for _ in 0..CHOICES {
        black_box(table.choose(Time::from_millis(2), &query, &mut rng));
    }
    let operation_ns = start.elapsed().as_nanos() as f64 / f64::from(CHOICES);
    Ok(Point { size, operation_ns, resident_mib: mebibytes(resident) })
}

/// Measures submissions until `size` jobs are recorded.
///
/// # Errors
///
/// Fails when the memory use cannot be read or a job is refused.
pub fn jobs(size: usize) -> anyhow::Result<Point> {
    let resident = usage::resident_bytes()?;
    let settings = ledger::Settings {
        waiting_max: size,
        caller_waiting_max: size,
        ..ledger::Settings::default()
    };
    let clock_reading = ClockReading { now: Time::from_millis(1), unix_ms: 1 };
    let mut table = ledger::Table::new(settings);
    for number in 0..LEDGERS {
        table.open(number, 1, &[], clock_reading)?;
    }
    let start = Instant::now();
    for index in 0..size {
        let spec = spec(index);
        let id = id::derive(&spec.caller, &index.to_string(), LEDGERS);
        black_box(table.submit(id, spec, clock_reading)?);
    }
    let operation_ns = start.elapsed().as_nanos() as f64 / size as f64;
    let resident = usage::resident_bytes()?.saturating_sub(resident);
    black_box(table.len());
    Ok(Point { size, operation_ns, resident_mib: mebibytes(resident) })
}

fn target(index: usize) -> route::Target {
    let [_, high, middle, low] = (index as u32).to_be_bytes();
    route::Target {
        worker: format!("worker-{index}").into(),
        domain: format!("domain-{}", index % DOMAINS).into(),
        address: SocketAddr::from(([10, high, middle, low], 7_000)),
        kinds: vec![KIND.into()],
    }
}

fn load(index: usize) -> route::Load {
    let running = (index % 8) as u32;
    route::Load { running, queued: 0, slots: 8, service_us: 10_000, disturbance_milli: 100 }
}

fn spec(index: usize) -> Spec {
    Spec {
        caller: format!("caller-{}", index % CALLERS).into(),
        kind: KIND.into(),
        resources: Bundle { slots: 1, connections: 1, millicores: 500, ..Bundle::default() },
        declared_run_ms: 60_000,
        idempotent: false,
        priority: 100,
        payload: "{\"run_ms\":60000}".to_owned(),
    }
}

fn mebibytes(bytes: u64) -> f64 {
    bytes as f64 / 1024.0 / 1024.0
}
