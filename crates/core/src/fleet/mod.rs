//! Fleet-wide defaults and exceptions.
//!
//! The configuration is one INI text. `[defaults]` sets the default values; each `[exception ID]`
//! overrides some of them for subjects that match its conditions:
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
//! [`Config::resolve`] returns the values for a domain, worker, kind and caller. For each key, the
//! exceptions that match, have not expired and set the key are ranked as follows:
//!
//! 1. The exception with more conditions wins.
//! 2. With equally many conditions, a condition on the worker takes precedence over one on the
//!    caller, then one on the kind, then one on the domain.
//! 3. With conditions on the same names, the exception later in the text wins.
//!
//! [`Scope`] defines which conditions can match for which keys; other combinations are rejected
//! because they could never match.
//!
//! An expired exception is ignored without a change of the text.

mod changes;
mod condition;
mod config;
mod draft;
mod exception;
pub mod key;
mod merge;
pub mod review;
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
