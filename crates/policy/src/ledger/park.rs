//! Parking of jobs that fit on no known worker, even an idle one.

use super::shape::Shape;
use super::{ClockReading, Table};
use shallotflow_core::job::State;
use shallotflow_core::name::Name;

/// Number of jobs that are compared with the worker shapes per tick.
const CHECKS_PER_TICK: usize = 256;

impl Table {
    /// Rebuilds the list of worker shapes and schedules a new check of every waiting job.
    pub(super) fn rebuild_shapes(&mut self) {
        let mut shapes: Vec<Shape> = Vec::new();
        for worker in self.workers.values() {
            let shape = Shape::of(worker);
            if !shapes.contains(&shape) {
                shapes.push(shape);
            }
        }
        self.shapes = shapes;
        let waits = |state: &State| matches!(state, State::Queued | State::Parked { .. });
        let jobs = self.jobs.values().filter(|job| waits(&job.record.state));
        self.unchecked = jobs.map(|job| job.record.id.clone()).collect();
    }
}

/// Parks jobs that fit on no worker shape, and requeues parked jobs that fit on one.
pub(super) fn run(table: &mut Table, clock: ClockReading) {
    if table.shapes.is_empty() || !table.parking_allowed_at.passed(clock.now) {
        return;
    }
    for _ in 0..CHECKS_PER_TICK {
        let Some(id) = table.unchecked.pop_front() else { return };
        check(table, &id);
    }
}

fn check(table: &mut Table, id: &Name) {
    let Some(job) = table.jobs.get(id) else { return };
    let spec = &job.record.spec;
    let possible = table.shapes.iter().any(|shape| shape.could_hold(&spec.kind, &spec.resources));
    match (&job.record.state, possible) {
        (State::Queued, false) => {
            let reason = reason(table, id);
            table.update(id, |job| job.record.state = State::Parked { reason });
        }
        (State::Parked { .. }, true) => {
            table.update(id, |job| job.record.state = State::Queued);
        }
        _ => {}
    }
}

fn reason(table: &Table, id: &Name) -> String {
    let Some(job) = table.jobs.get(id) else { return String::new() };
    let spec = &job.record.spec;
    let serves = |shape: &&Shape| shape.could_hold(&spec.kind, &Default::default());
    if !table.shapes.iter().any(|shape| serves(&shape)) {
        return format!("no worker serves the kind {}", spec.kind);
    }
    let need = &spec.resources;
    format!(
        "no worker of the kind {} holds {} slots, {} connections, {} millicores, {} MiB and {} \
         accelerators at once",
        spec.kind,
        need.slots,
        need.connections,
        need.millicores,
        need.memory_mib,
        need.accelerators
    )
}
