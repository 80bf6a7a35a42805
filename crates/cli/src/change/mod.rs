//! Changes of the fleet configuration in the store.
//!
//! Each change has an identifier. A single transaction compares the revision that the change is
//! based on, writes the new text, keeps the old text, and records the identifier. If the comparison
//! fails, the command reads the configuration again and merges. If the response is lost, the
//! command looks for the identifier in the record. A change is therefore idempotent: it can be
//! retried without being applied twice.

mod current;
mod edit;
mod id;
mod session;
mod unconfirmed;

pub use current::Current;
pub use edit::Edit;
pub use id::new_id;
pub use session::{Applied, Session};
