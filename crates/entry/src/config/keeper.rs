//! Keeps the configuration in force.

use super::Notice;
use serde_json::json;
use shallotflow_core::fleet::{Subject, Values};
use shallotflow_core::metric;
use shallotflow_policy::spread::{Body, Decision, State, Update};
use shallotflow_wire::proto;
use std::cell::RefCell;
use std::time::SystemTime;

/// Bytes of earlier texts that are kept to answer with patches of them.
const PAST_BYTES: usize = 2 * 1024 * 1024;

/// The configuration of this entry.
pub struct Keeper {
    state: RefCell<State>,
}

impl Default for Keeper {
    fn default() -> Self {
        Self { state: RefCell::new(State::with_history(PAST_BYTES)) }
    }
}

impl Keeper {
    /// Takes the configuration part of a report and gives that of the reply.
    ///
    /// `text` is empty unless the last reply to the same agent asked for it.
    pub fn hear(&self, revision: u64, text: &str) -> Notice {
        self.state.borrow_mut().observe_revision(revision);
        if !text.is_empty() {
            self.offer(revision, text);
        }
        let state = self.state.borrow();
        Notice { revision: state.revision(), want: state.needs_text_of(revision) }
    }

    /// Puts a text in force, if it is newer and valid.
    pub fn offer(&self, revision: u64, text: &str) {
        match self.state.borrow_mut().offer(revision, text) {
            Decision::InForce => {
                metrics::gauge!(metric::CONFIG_REVISION).set(revision as f64);
                spdlog::info!("configuration in force", kv: { revision });
            }
            Decision::NotNewer | Decision::BaseMismatch => {}
            Decision::Refused(refusal) => {
                spdlog::error!("configuration refused", kv: { revision, reason: = refusal });
            }
        }
    }

    /// The answer to an agent that has the revision `have` and fetches.
    pub fn fetch(&self, have: u64) -> proto::ConfigReply {
        let Update { revision, body } = self.state.borrow().update_from(have);
        match body {
            Body::Whole(text) => {
                proto::ConfigReply { revision, text: text.to_string(), ..Default::default() }
            }
            Body::Patch(patch) => proto::ConfigReply {
                revision,
                text: patch.middle.to_string(),
                base_revision: patch.base,
                prefix_bytes: patch.prefix_bytes,
                suffix_bytes: patch.suffix_bytes,
            },
        }
    }

    /// The values in force for `subject`.
    pub fn resolve(&self, subject: &Subject<'_>) -> Values {
        self.state.borrow().config().resolve(subject, unix_now_s())
    }

    /// The revision in force.
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision()
    }

    /// The state, for operators.
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state.borrow();
        json!({
            "revision": state.revision(),
            "behind": state.needs_update(),
            "refused": state.refusal(),
            "config": **state.config(),
        })
    }
}

fn unix_now_s() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
