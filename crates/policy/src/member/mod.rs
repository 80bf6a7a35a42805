//! Which targets and entries are alive.
