//! The callers' HTTP interface.
//!
//! - `POST /run/<kind>`: a quick request or a watcher.
//! - `POST /jobs`, `GET /jobs/<id>`, `DELETE /jobs/<id>`: batch jobs.
//!
//! Errors are problem documents; [`answer`] writes them.

pub mod answer;
mod ask;
mod front;
mod jobs;

pub use ask::{Ask, Error, Result};
pub use front::Front;
