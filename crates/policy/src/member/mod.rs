//! Membership: the targets that are alive.
//!
//! Members are learned from the reports of their agents. Each restart of an agent has a higher
//! incarnation and each report within an incarnation a higher sequence number, so that a delayed
//! report never replaces a newer one. A target whose deadline passes without a report is removed.

mod announcement;
mod settings;
mod table;

pub use announcement::Announcement;
pub use settings::Settings;
pub use table::{Member, Table};

/// Reason why a report is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A newer incarnation of the agent has reported.
    #[error("incarnation {given} of worker {worker} is older than {known}; stop the older agent")]
    OlderIncarnation {
        /// The worker.
        worker: shallotflow_core::name::Name,
        /// The newest incarnation received.
        known: u64,
        /// The incarnation of the report.
        given: u64,
    },
    /// This or a later report of the same incarnation was applied before.
    #[error("report {given} of worker {worker} arrived after report {known}; send the next one")]
    OlderReport {
        /// The worker.
        worker: shallotflow_core::name::Name,
        /// The newest sequence number received.
        known: u64,
        /// The sequence number of the report.
        given: u64,
    },
}

/// Result of applying a report.
pub type Result<T> = std::result::Result<T, Error>;
