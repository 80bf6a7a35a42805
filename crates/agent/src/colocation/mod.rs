//! Quick and batch work on one worker: how much room batch work leaves and when it gives way.

mod control;
mod room;
mod usage;

pub(crate) use control::control;
pub(crate) use room::Room;
pub(crate) use usage::follow_usage;
