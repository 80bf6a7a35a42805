//! The configuration of one process.

use super::past::Past;
use super::{Body, Decision, Patch, Refusal, Update};
use crate::injected::{self, Fault};
use shallotflow_core::fleet::Config;
use shallotflow_core::name::Name;
use std::sync::Arc;

/// The file name in messages about a text that came from another process.
const SOURCE: &str = "fleet.ini";
/// How many refused revisions are remembered, so that they are not fetched again.
const REFUSALS_KEPT: usize = 16;

/// The revision in force, its text, and the highest revision heard of that was not refused.
///
/// Revision 0 is the built-in configuration with an empty text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    revision: u64,
    text: Name,
    config: Arc<Config>,
    heard: u64,
    refusals: Vec<Refusal>,
    past: Past,
}

impl State {
    /// A state that keeps at most `bytes` bytes of earlier texts, to answer with patches of them.
    pub fn with_history(bytes: usize) -> Self {
        Self { past: Past::new(bytes), ..Self::default() }
    }

    /// The revision in force; never goes down.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The text in force.
    pub fn text(&self) -> &Name {
        &self.text
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The newest text that was refused, if it is newer than the one in force.
    pub fn refusal(&self) -> Option<&Refusal> {
        self.refusals.iter().max_by_key(|refusal| refusal.revision)
    }

    /// Notes that another process has `revision` in force.
    pub fn observe_revision(&mut self, revision: u64) {
        if !self.is_refused(revision) {
            self.heard = self.heard.max(revision);
        }
    }

    /// Whether a newer text than the one in force is known to exist and was not refused.
    pub fn needs_update(&self) -> bool {
        self.heard > self.revision
    }

    /// Whether the text of `revision`, which another process has in force, is wanted here.
    pub fn needs_text_of(&self, revision: u64) -> bool {
        revision > self.revision && !self.is_refused(revision)
    }

    /// Puts `text` in force, if it is newer and valid.
    ///
    /// Revision 0 is the built-in configuration and never replaces anything.
    pub fn offer(&mut self, revision: u64, text: &str) -> Decision {
        if revision <= self.revision && !injected::is_on(Fault::RevisionRollback) {
            return Decision::NotNewer;
        }
        match Config::parse(SOURCE, text) {
            Ok(config) => {
                self.accept(revision, text, config);
                Decision::InForce
            }
            Err(error) => {
                let refusal = Refusal { revision, reason: error.to_string() };
                self.refuse(refusal.clone());
                Decision::Refused(refusal)
            }
        }
    }

    /// What a process with the revision `have` needs to come to the one in force here.
    pub fn update_from(&self, have: u64) -> Update {
        let text = &self.text;
        let patch = self.past.get(have).map(|old| Patch::between(have, old, text));
        let body = match patch {
            Some(patch) if patch.middle.len() < text.len() => Body::Patch(patch),
            _ => Body::Whole(text.clone()),
        };
        Update { revision: self.revision, body }
    }

    /// Puts an update in force, if it is newer, fits the text in force here, and is valid.
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

    fn accept(&mut self, revision: u64, text: &str, config: Config) {
        let old = std::mem::replace(&mut self.text, text.into());
        self.past.push(self.revision, old);
        self.revision = revision;
        self.config = Arc::new(config);
        self.heard = self.heard.max(revision);
        self.refusals.retain(|refusal| refusal.revision > revision);
    }

    fn refuse(&mut self, refusal: Refusal) {
        if self.is_refused(refusal.revision) {
            return;
        }
        if self.heard == refusal.revision {
            // Lower revisions that others have in force are heard of again with their next message.
            self.heard = self.revision;
        }
        if self.refusals.len() == REFUSALS_KEPT {
            self.refusals.remove(0);
        }
        self.refusals.push(refusal);
    }

    fn is_refused(&self, revision: u64) -> bool {
        self.refusals.iter().any(|refusal| refusal.revision == revision)
    }
}
