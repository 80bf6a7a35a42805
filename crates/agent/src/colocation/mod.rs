//! Colocation of quick requests and batch tasks on one worker: how many resources are left to quick
//! requests, and when batch tasks are throttled or evicted.

mod control;
mod tables;
mod usage;

pub(crate) use control::control;
pub(crate) use tables::Tables;
pub(crate) use usage::follow_usage;
