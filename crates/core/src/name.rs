//! Shared immutable names of workers, kinds, callers and failure domains.

use std::sync::Arc;

/// A name that is cheap to clone and never changes.
pub type Name = Arc<str>;
