//! Defaults and exceptions that hold in the whole fleet.
//!
//! The configuration is one INI text. `[defaults]` gives values for everything; each
//! `[exception ID]` overrides some of them where its conditions match:
//!
//! ```text
//! [defaults]
//! reserve = 25%
//!
//! [exception rush-piedmont]
//! domain = piedmont
//! reserve = 50%
//! reason = phone quotes double on Fridays
//! author = anna
//! expires = 2026-12-31T18:00:00Z
//! ```
//!
//! [`Config::resolve`] gives the values for a domain, worker, kind and caller. For each key, of
//! the exceptions that match, are in force and give the key:
//!
//! 1. the one with more conditions wins;
//! 2. of those with as many, one that names a worker goes before one that names a caller, then
//!    one that names a kind, then one that names a domain;
//! 3. of those that name the same, the one that stands later in the text wins.
//!
//! [`Scope`] tells which conditions can match for which keys; others are refused, as they would
//! never hold.
//!
//! An exception whose expiry has passed is ignored; it ends without a change of the text.

mod changes;
mod condition;
mod config;
mod draft;
mod exception;
pub mod key;
mod merge;
mod scope;
mod subject;
mod values;

pub use changes::Changes;
pub use condition::Condition;
pub use config::Config;
pub use exception::Exception;
pub use merge::{Conflict, merge};
pub use scope::Scope;
pub use subject::Subject;
pub use values::Values;

pub(crate) use draft::push_reference;
