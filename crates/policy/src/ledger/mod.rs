//! Batch jobs under an owner: grants, recovery, cancellation and retention.
//!
//! An entry keeps the jobs of every ledger that it owns in one [`Table`]. Events change the table;
//! each change waits in the ledger's log until a [`Segment`] that holds it is in the store. What
//! depends on a change (a grant, a settled task, an answer to a caller) leaves only afterwards.
//!
//! - [`Report`], [`Status`], [`Phase`], [`Key`]: what agents say of their tasks.
//! - [`Pending`], [`Reply`], [`Grant`]: what is answered, once it is committed.
//! - [`Segment`], [`line`]: what is written to the store.
//! - [`assignment`]: which entry owns which ledger.
//! - [`id`]: identifiers of jobs.

mod apply;
mod backlog;
mod change;
mod clock;
mod commit;
mod error;
mod expire;
mod grant;
mod job;
mod log;
mod park;
mod pending;
mod reply;
mod report;
mod retain;
mod segment;
mod settings;
mod shape;
mod shard;
mod status;
mod summary;
mod table;
mod totals;
mod transition;
mod worker;

pub mod assignment;
pub mod id;
pub mod line;

pub use change::Change;
pub use clock::ClockReading;
pub use error::{Error, Result};
pub use grant::Grant;
pub use pending::Pending;
pub use reply::Reply;
pub use report::Report;
pub use segment::Segment;
pub use settings::Settings;
pub use status::Status;
pub use summary::Summary;
pub use table::Table;
pub use totals::Totals;

pub use shallotflow_core::task::{Key, Phase};
