//! A worker that runs graph tasks and publishes the events of its runs.
//!
//! The text of a job may be JSON with one [`Behavior`] for each step; any other text means default
//! behavior. The members of a gang begin to work as soon as they have started.

mod active;
mod behavior;
mod event;
mod events;
mod server;
mod state;

pub use behavior::Behavior;
pub use event::{Event, Transition};
pub use events::Events;
pub use server::Server;

/// The result of a call.
pub(crate) type Result<T> = shallotflow_scheduler::agent::Result<T>;
