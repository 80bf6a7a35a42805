//! INI documents with line numbers, and typed keys over them.
//!
//! A [`Document`] keeps sections, keys and values with the lines they stand on. A [`Key`] is one
//! line of a declarative table: it parses a value into a field, prints it back, and describes
//! itself for the reference pages. [`codec`] has the kinds of values.
//!
//! A line that starts with `;` or `#` is a comment. Sections and keys appear at most once. Lines
//! end with a line feed, after a carriage return or not; other control characters are refused.

pub mod codec;
mod document;
mod entry;
mod error;
mod fault;
mod key;
mod required;
mod section;
mod table;

pub use document::{Document, read_text};
pub use entry::Entry;
pub use error::Error;
pub use fault::Fault;
pub use key::Key;
pub use required::Required;
pub use section::Section;
pub use table::Table;

pub(crate) use key::key;

/// The result of reading an INI text.
pub type Result<T> = std::result::Result<T, Error>;
