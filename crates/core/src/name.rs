//! Shared immutable names of workers, kinds, callers and failure domains.

use std::sync::Arc;

/// An immutable name that is cheap to clone.
pub type Name = Arc<str>;
