//! Messages between agents and the owner.
//!
//! An agent sends numbered [`Report`]s; the owner answers each with a [`Reply`] that carries
//! orders and the right to renew the worker's leases.

mod additions;
mod answer;
mod crash;
mod crashed_run;
mod disturbance;
mod end;
mod incarnation;
mod order;
mod part;
mod profile;
mod reply;
mod report;
mod restart;
mod run;
mod run_traits;
mod traits;

pub use additions::Additions;
pub use answer::{Answer, Outcome};
pub use crash::Crash;
pub use crashed_run::CrashedRun;
pub use disturbance::Disturbance;
pub use end::{End, ExitReason};
pub use incarnation::Incarnation;
pub use order::{Kind, Order};
pub use part::Part;
pub use profile::{Profile, Status};
pub use reply::Reply;
pub use report::Report;
pub use restart::Restart;
pub use run::Run;
pub use run_traits::RunTraits;
pub use traits::Traits;
