//! The callers' HTTP interface.
//!
//! - `POST /run/<kind>`: a quick request or a watcher.
//! - `POST /jobs`, `GET /jobs/<id>`, `DELETE /jobs/<id>`: batch jobs.
//! - `PUT /graphs/<kind>/<id>`, `GET` and `DELETE` of the same: jobs of several tasks;
//!   `GET /graphs/<kind>`: the number of waiting jobs.
//!
//! Errors are returned as problem documents; see [`answer`].

pub mod answer;
mod graphs;
mod jobs;
mod options;
mod router;

pub use options::{Error, Options, Result};
pub use router::Router;
