//! The owner's table of jobs and workers.

mod cancel;
mod floor;
mod fuzz;
mod gang;
mod harm;
mod lists;
mod order;
mod overload;
mod recovery;
mod retry;
mod sizes;
