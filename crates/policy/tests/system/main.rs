//! The batch path as a whole, in virtual time and under failure.
//!
//! Several entries, agents, workers and a store run the same systems as the processes. Messages
//! are delayed, reordered, duplicated and dropped, answers are lost after the write took effect,
//! clocks drift, and processes pause and restart at any step. The oracle holds facts that only the
//! fake workers and the fake store write; see [`facts`].

mod agent;
mod entry;
mod facts;
mod machine;
mod packet;
mod planted;
mod promises;
mod regressions;
mod store;
mod worker;
mod world;
