//! Changes of the fleet configuration in the store.
//!
//! A change has an identifier. One transaction compares the revision of the text that the change
//! was made from, writes the new text, keeps the old one, and records the identifier. Whoever
//! loses the comparison reads again and merges; whoever loses the answer finds the identifier in
//! the record. The same change can therefore be tried again without being applied twice.

mod current;
mod doubt;
mod edit;
mod id;
mod session;

pub use current::Current;
pub use edit::Edit;
pub use id::new_id;
pub use session::{Applied, Session};
