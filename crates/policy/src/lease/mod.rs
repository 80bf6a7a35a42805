//! Leases of the batch tasks of one worker: grants, renewals, stops and fencing by epochs.
//!
//! A reply takes effect only if it answers the report in flight and arrives within the lease that
//! it grants. A lease starts when the report was sent; the owner received the report later, so it
//! knows an upper bound on the end of the lease. Messages with an epoch below the highest seen for
//! their ledger have no effect.

mod command;
mod reply;
mod table;
mod task;

pub use command::Command;
pub use reply::{Grant, Owned, Reply, StopOrder};
pub use table::{Adoption, Observation, Table};
pub use task::Task;
