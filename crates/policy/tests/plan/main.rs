//! Tests of the owner's table of jobs and workers.

mod cancel;
mod capacity;
mod crash;
mod delay;
mod disturbance;
mod evacuation;
mod fuzz;
mod gang;
mod harness;
mod locality;
mod locality_replay;
mod locality_search;
mod messages;
mod offline;
mod order;
mod overload;
mod recovery;
mod refusal;
mod relocation;
mod replay;
mod restart;
mod retry;
mod sizes;
mod starvation;
mod waits;
