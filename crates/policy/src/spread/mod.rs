//! One configuration revision in force everywhere, never an older one.
