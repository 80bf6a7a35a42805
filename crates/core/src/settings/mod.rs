//! Settings of each process, read from INI files.
//!
//! To add a setting, add a field with a default to the `Settings` of the process and one line to the
//! `KEYS` table in the same module:
//!
//! ```text
//! key!("entry", owner_lease: Span, "How long the ownership of a ledger lasts.", span::ms(500)..=span::s(60)),
//! ```
//!
//! The line gives the section, the field (or `outer.field`), the codec from [`crate::ini::codec`],
//! the description, and a range if one applies. Parsing, formatting and the reference page are
//! derived from it; `cargo run -p shallotflow-codegen` regenerates the page. The tables start with
//! `with_limits!`, which adds the keys of `[limits]`.

pub mod agent;
pub mod entry;
pub mod limits;
pub mod reference;
mod span;
pub mod standin;
