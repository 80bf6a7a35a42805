//! What agents and the owner tell each other.
//!
//! An agent sends numbered [`Report`]s; the owner answers each with a [`Reply`] that carries
//! orders and the right to renew the worker's leases.

mod answer;
mod end;
mod feature;
mod harm;
mod lifetime;
mod order;
mod profile;
mod reply;
mod report;
mod run;
mod traits;

pub use answer::{Answer, Outcome};
pub use end::{End, How};
pub use feature::Feature;
pub use harm::Harm;
pub use lifetime::Lifetime;
pub use order::{Kind, Order};
pub use profile::{Profile, Standing};
pub use reply::Reply;
pub use report::Report;
pub use run::Run;
pub use traits::Traits;
