//! Configuration state of one process.

use super::history::History;
use super::{Body, Decision, Patch, Refusal, Update};
use crate::injected::{self, Fault};
use shallotflow_core::fleet::Config;
use shallotflow_core::name::Name;
use std::sync::Arc;

/// File name in error messages about texts from other processes.
const SOURCE: &str = "fleet.ini";
/// Number of refused revisions that are remembered, so that they are not fetched again.
const MAX_REFUSALS: usize = 16;

/// Revision in force, its text, and the highest revision seen that was not refused.
///
/// Revision 0 is the built-in configuration with an empty text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    revision: u64,
    text: Name,
    config: Arc<Config>,
    newest_seen: u64,
    refusals: Vec<Refusal>,
    history: History,
}

impl State {
    /// Creates a state that keeps at most `bytes` bytes of earlier texts as bases of patches.
    pub fn with_history(bytes: usize) -> Self {
        Self { history: History::new(bytes), ..Self::default() }
    }

    /// Returns the revision in force; it never decreases.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the text in force.
    pub fn text(&self) -> &Name {
        &self.text
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the newest refused revision, if it is newer than the one in force.
    pub fn refusal(&self) -> Option<&Refusal> {
        self.refusals.iter().max_by_key(|refusal| refusal.revision)
    }

    /// Records that another process has `revision` in force.
    pub fn observe_revision(&mut self, revision: u64) {
        if !self.is_refused(revision) {
            self.newest_seen = self.newest_seen.max(revision);
        }
    }

    /// Whether a newer revision has been seen that was not refused.
    pub fn needs_update(&self) -> bool {
        self.newest_seen > self.revision
    }

    /// Whether another process that has `revision` in force should send its text.
    pub fn needs_text_of(&self, revision: u64) -> bool {
        revision > self.revision && !self.is_refused(revision)
    }

    /// Puts `text` in force if it is newer and valid.
    ///
    /// Revision 0 is the built-in configuration and never replaces another one.
    pub fn offer(&mut self, revision: u64, text: &str) -> Decision {
        if revision <= self.revision && !injected::is_on(Fault::RevisionRollback) {
            return Decision::NotNewer;
        }
        match Config::parse(SOURCE, text) {
            Ok(config) => {
                self.put_in_force(revision, text, config);
                Decision::InForce
            }
            Err(error) => {
                let refusal = Refusal { revision, reason: error.to_string() };
                self.refuse(refusal.clone());
                Decision::Refused(refusal)
            }
        }
    }

    /// Returns the update from revision `have` to the one in force: a patch if the text of `have`
    /// is still in the history and the patch is smaller, otherwise the whole text.
    pub fn update_from(&self, have: u64) -> Update {
        let text = &self.text;
        let patch = self.history.get(have).map(|old| Patch::between(have, old, text));
        let body = match patch {
            Some(patch) if patch.middle.len() < text.len() => Body::Patch(patch),
            _ => Body::Whole(text.clone()),
        };
        Update { revision: self.revision, body }
    }

    /// Puts an update in force if it is newer, applies to the text in force and is valid.
    pub fn apply_update(&mut self, update: &Update) -> Decision {
        match &update.body {
            Body::Whole(text) => self.offer(update.revision, text),
            Body::Patch(_) if update.revision <= self.revision => Decision::NotNewer,
            Body::Patch(patch) if patch.base != self.revision => Decision::BaseMismatch,
            Body::Patch(patch) => match patch.apply(&self.text) {
                Some(text) => self.offer(update.revision, &text),
                None => Decision::BaseMismatch,
            },
        }
    }

    fn put_in_force(&mut self, revision: u64, text: &str, config: Config) {
        let old = std::mem::replace(&mut self.text, text.into());
        self.history.push(self.revision, old);
        self.revision = revision;
        self.config = Arc::new(config);
        self.newest_seen = self.newest_seen.max(revision);
        self.refusals.retain(|refusal| refusal.revision > revision);
    }

    fn refuse(&mut self, refusal: Refusal) {
        if self.is_refused(refusal.revision) {
            return;
        }
        if self.newest_seen == refusal.revision {
            // Lower revisions that others have in force are seen again with their next message.
            self.newest_seen = self.revision;
        }
        if self.refusals.len() == MAX_REFUSALS {
            self.refusals.remove(0);
        }
        self.refusals.push(refusal);
    }

    fn is_refused(&self, revision: u64) -> bool {
        self.refusals.iter().any(|refusal| refusal.revision == revision)
    }
}
