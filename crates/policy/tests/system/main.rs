//! Simulation of the complete batch path in virtual time and under failures.
//!
//! Several entries and agents run the same tables as the real processes, against fake workers and
//! a fake store. Messages are delayed, reordered, duplicated and dropped, responses are lost after
//! the write took effect, clocks drift, and processes pause and restart at any step. The
//! [`oracle`] records only what the fake workers do and what callers are told.

mod agent;
mod entry;
mod injected;
mod invariants;
mod machine;
mod oracle;
mod packet;
mod regressions;
mod store;
mod worker;
mod world;
