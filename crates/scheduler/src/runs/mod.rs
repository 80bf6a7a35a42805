//! The product's own interface of a worker that runs tasks of graphs.
//!
//! Every call is a `POST` with a JSON body. It is answered with `200` and a JSON body, or with
//! `409` and an [`Error`](crate::agent::Error) after which nothing was carried out.
//!
//! - [`Describe`]: the worker says what it is.
//! - [`Start`], [`Stop`], [`Pace`]: orders for one run; answered with [`Clock`].
//! - [`Poll`]: renews leases and reads the lists of what runs and what has ended.
//! - [`Client`]: the calls, as the agent makes them.
//! - [`follow`]: keeps an agent informed of what its worker says of itself.

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
