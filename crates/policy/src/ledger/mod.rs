//! Ledgers of batch jobs: grants, recovery, cancellation and retention.
//!
//! An entry keeps the jobs of all ledgers that it owns in one [`Table`]. Each change of the table
//! is written to the store in a [`Segment`] of the ledger's log. Messages that depend on a change
//! (a grant, a settled task, a response to a caller) are sent only after the segment is stored.
//!
//! - [`Report`], [`Status`], [`Phase`], [`Key`]: reports of agents about their tasks.
//! - [`Pending`], [`Reply`], [`Grant`]: replies to reports, sent once they are committed.
//! - [`Segment`], [`mod@line`]: the stored format.
//! - [`assignment`]: assignment of ledgers to entries.
//! - [`id`]: job identifiers.

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
