//! The load that is included in answers and reports.

use crate::state::State;
use shallotflow_core::class::Class;
use shallotflow_core::time::Time;
use shallotflow_wire::proto;

/// The current load.
pub(crate) fn load(state: &State, now: Time) -> proto::Load {
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    proto::Load {
        running: count(state.admission.running(Class::Quick)),
        queued: count(state.admission.queue(Class::Quick).len()),
        slots: state.admission.quick_slots(),
        service_us: u32::try_from(state.meter.service().as_micros()).unwrap_or(u32::MAX),
        disturbance_milli: state.slowdown_milli(now),
        batch_room: Some(state.batch_room(now).into()),
        watchers: count(state.admission.running(Class::Watch)),
    }
}
