//! Slowdown of one kind by another, learned per pair.
