//! Admission control of one worker: resource reservations and queues.
//!
//! Each class of work has its own queue, ordered by deadline, so that short work never waits
//! behind long work. A start reserves all resources that the work needs; the reservation is
//! released only when the end of the work is confirmed. Batch work starts only on resources that
//! are neither in use nor reserved for quick work.

mod queue;
mod refusal;
mod settings;
mod table;
mod ticket;

pub use queue::Queue;
pub use refusal::Refusal;
pub use settings::Settings;
pub use table::{Command, Table};
pub use ticket::{Id, Ticket};

/// The result of an offer.
pub type Result<T> = std::result::Result<T, Refusal>;
