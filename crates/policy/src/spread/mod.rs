//! Distribution of the configuration: one revision everywhere, never an older one.
//!
//! Every process keeps a [`State`]. Texts arrive from the store's watch (at entries), from agents'
//! reports (at an entry that starts while the store is down) and from `FetchConfig` (at agents).
//! All of them go through [`State::offer`], which puts a text in force only if it is valid and its
//! revision is higher than the one in force. Revisions that are seen without their text go through
//! [`State::observe_revision`]; [`State::needs_update`] then returns whether a newer text should be
//! fetched.
//!
//! For each report, an entry calls `observe_revision(report.config_revision)` and, if the report
//! has a text, `offer(report.config_revision, report.config_text)`. It replies with `revision()`
//! and `needs_text_of(report.config_revision)`.
//!
//! For each reply, an agent calls `observe_revision(reply.config_revision)`. If `needs_update()`,
//! it calls `FetchConfig` with its own revision and passes the [`Update`] of the response to
//! `apply_update`; the update is a [`Patch`] if the entry still has the text of that revision. If
//! the reply asks for the text, the agent puts `text()` into its next report to the same entry. It
//! tracks such requests per entry, as another entry may not need the text.

mod decision;
mod history;
mod patch;
mod refusal;
mod state;
mod update;

pub use decision::Decision;
pub use patch::Patch;
pub use refusal::Refusal;
pub use state::State;
pub use update::{Body, Update};
