//! A worker that runs tasks of graphs, and tells what really happened there.
//!
//! The text of a job may be JSON with one [`Behavior`] for each step; other texts ask for nothing.
//! Members of a gang work as soon as they have started.

mod behavior;
mod event;
mod events;
mod held;
mod server;
mod state;

pub use behavior::Behavior;
pub use event::{Event, Transition};
pub use events::Events;
pub use server::Server;

/// The result of a call.
pub(crate) type Result<T> = shallotflow_scheduler::agent::Result<T>;
