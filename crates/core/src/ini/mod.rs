//! INI documents with line numbers, and typed keys to read them.
//!
//! A [`Document`] contains sections, keys and values with their line numbers. A [`Key`] is one line
//! of a declarative [`Table`]: it parses a value into a field, formats it, and documents the key on
//! the reference page. [`codec`] defines the types of values.
//!
//! A line that starts with `;` or `#` is a comment. Sections and keys must be unique. Lines end with
//! LF or CRLF; control characters other than tabs are rejected.

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

/// The result of parsing an INI text.
pub type Result<T> = std::result::Result<T, Error>;
