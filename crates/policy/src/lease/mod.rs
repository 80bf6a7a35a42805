//! Batch tasks of one worker under leases: grants, renewals, stops and fencing by epochs.
//!
//! A reply counts only when it answers the outstanding report and comes within the lease that it
//! gives. A lease runs from the moment at which the report was sent, so that the owner, which
//! received the report later, knows a bound on its end. An epoch below the highest seen for its
//! ledger has no effect.

mod command;
mod reply;
mod table;
mod task;

pub use command::Command;
pub use reply::{Grant, Owned, Reply, StopOrder};
pub use table::{Adoption, Observation, Table};
pub use task::Task;
