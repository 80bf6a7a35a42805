//! Reservations and queues of one worker: what may start there now.
//!
//! Each class of work waits in a queue of its own, in the order of deadlines, so that short work
//! never waits behind long work. A start reserves every resource that it needs; the reservation
//! is released only when its end is confirmed. Batch work starts only in the room that is left
//! beside the reserve for quick work.

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
