//! Reports to entries and the handling of their replies.

mod budget;
mod fleet;
mod message;
mod session;
mod wake;

pub(crate) use budget::Budget;
pub(crate) use fleet::follow_entries;
pub(crate) use wake::Wake;
