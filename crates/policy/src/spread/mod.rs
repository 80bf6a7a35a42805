//! One configuration revision in force everywhere, never an older one.
//!
//! Every process keeps a [`State`]. Texts reach it from the store's watch (entries), from agents'
//! reports (an entry that starts while the store is down) and from `FetchConfig` (agents); all of
//! them go through [`State::offer`], which puts a text in force only when its revision is higher
//! than the one in force and the text is valid. Revisions that are merely heard of go through
//! [`State::observe_revision`]; [`State::needs_update`] then says that a newer text should be fetched.
//!
//! At an entry, for each report: `observe_revision(report.config_revision)`, `offer(report.config_revision,
//! report.config_text)` when a text came along, then reply with `revision()` and
//! `needs_text_of(report.config_revision)`.
//! At an agent, for each reply: `observe_revision(reply.config_revision)`; when `needs_update()`, call `FetchConfig`
//! with its own revision and `take` the [`Update`] in its answer, which is a [`Patch`] if the entry
//! still has the text of that revision; when the reply asks for the text, put `text()` into the next report to
//! the same entry (the wish is kept for each entry, as another entry may not need it).

mod decision;
mod past;
mod patch;
mod refusal;
mod state;
mod update;

pub use decision::Decision;
pub use patch::Patch;
pub use refusal::Refusal;
pub use state::State;
pub use update::{Body, Update};
