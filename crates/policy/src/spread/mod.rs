//! One configuration revision in force everywhere, never an older one.
//!
//! Every process keeps a [`State`]. Texts reach it from the store's watch (entries), from agents'
//! reports (an entry that starts while the store is down) and from `FetchConfig` (agents); all of
//! them go through [`State::offer`], which puts a text in force only when its revision is higher
//! than the one in force and the text is valid. Revisions that are merely heard of go through
//! [`State::hear`]; [`State::wants`] then says that a newer text should be fetched.
//!
//! At an entry, for each report: `hear(report.config_revision)`, `offer(report.config_revision,
//! report.config_text)` when a text came along, then reply with `revision()` and
//! `wants_text_of(report.config_revision)`.
//! At an agent, for each reply: `hear(reply.config_revision)`; when `wants()`, call `FetchConfig`
//! with its own revision and `take` the [`Update`] in its answer, which is a [`Patch`] if the entry
//! still has the text of that revision; when the reply asks for the text, put `text()` into the next report to
//! the same entry (the wish is kept for each entry, as another entry may not need it).

mod offer;
mod past;
mod patch;
mod refusal;
mod state;
mod update;

pub use offer::Offer;
pub use patch::Patch;
pub use refusal::Refusal;
pub use state::State;
pub use update::{Body, Update};
