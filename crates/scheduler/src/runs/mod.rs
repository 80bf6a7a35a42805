//! The product's own HTTP interface of a worker that runs graph tasks.
//!
//! Every call is a `POST` with a JSON body. The answer is `200` with a JSON body, or `409` with an
//! [`Error`](crate::agent::Error), in which case nothing was carried out.
//!
//! - [`Describe`]: returns the worker's profile.
//! - [`Start`], [`Stop`], [`Pace`]: orders for one run; answered with [`Clock`].
//! - [`Poll`]: renews leases and reads the lists of active and ended runs.
//! - [`Client`]: makes the calls for the agent.
//! - [`follow`]: keeps an agent informed of its worker's profile.

mod client;
mod clock;
mod describe;
mod follow;
mod pace;
mod poll;
mod start;
mod stop;

pub use client::Client;
pub use clock::Clock;
pub use describe::Describe;
pub use follow::follow;
pub use pace::Pace;
pub use poll::Poll;
pub use start::Start;
pub use stop::Stop;
