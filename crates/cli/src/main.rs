//! Under construction.
fn main() {}
