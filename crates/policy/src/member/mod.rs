//! Which targets are alive.
//!
//! A target is known by the reports of its agent. Each restart of the agent has a larger
//! incarnation, each report of one incarnation a larger sequence, so that a delayed report never
//! replaces a newer one. A target that stays silent until its deadline is dropped.

mod announcement;
mod settings;
mod table;

pub use announcement::Announcement;
pub use settings::Settings;
pub use table::{Member, Table};

/// Why a report was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A newer incarnation of the agent has reported.
    #[error("worker {worker} is known with incarnation {known}, not {given}; stop the older agent")]
    OlderIncarnation {
        /// The worker.
        worker: shallotflow_core::name::Name,
        /// The incarnation known here.
        known: u64,
        /// The incarnation of the report.
        given: u64,
    },
    /// A later report of the same incarnation was taken before.
    #[error("report {given} of worker {worker} came after report {known}; send the next one")]
    OlderReport {
        /// The worker.
        worker: shallotflow_core::name::Name,
        /// The sequence known here.
        known: u64,
        /// The sequence of the report.
        given: u64,
    },
}

/// The result of taking a report.
pub type Result<T> = std::result::Result<T, Error>;
