//! Settings of each process, read from INI files.
//!
//! To add a setting: add a field to the process's `Settings` with its value in `Default`, and one
//! line to the `KEYS` table of the same module:
//!
//! ```text
//! key!("entry", owner_lease: Span, "How long a ledger stays owned.", span::ms(500)..=span::s(60)),
//! ```
//!
//! The tables start with `with_limits!`, which adds the keys of `[limits]`. The line gives the section, the field (or `outer.field`), the codec of [`crate::ini::codec`],
//! what it means, and a range if one applies. Parsing, printing and the reference page follow
//! from it; `cargo run -p shallotflow-codegen` writes the page again.

pub mod agent;
pub mod entry;
pub mod limits;
pub mod reference;
mod span;
pub mod standin;
