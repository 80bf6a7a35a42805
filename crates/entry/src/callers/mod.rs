//! The callers' HTTP interface.
//!
//! - `POST /run/<kind>`: a quick request or a watcher.
//! - `POST /jobs`, `GET /jobs/<id>`, `DELETE /jobs/<id>`: batch jobs.
//! - `PUT /graphs/<kind>/<id>`, `GET` and `DELETE` of the same: jobs of several tasks;
//!   `GET /graphs/<kind>`: how many of them wait.
//!
//! Errors are problem documents; [`answer`] writes them.

pub mod answer;
mod ask;
mod front;
mod graphs;
mod jobs;

pub use ask::{Ask, Error, Result};
pub use front::Front;
