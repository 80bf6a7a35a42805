//! The fleet configuration in force at this entry.

use super::Notice;
use event_listener::Event;
use serde_json::json;
use shallotflow_core::fleet::{Subject, Values};
use shallotflow_core::metric;
use shallotflow_core::name::Name;
use shallotflow_policy::spread::{Body, Decision, State, Update};
use shallotflow_wire::proto;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::SystemTime;

/// Size limit of the earlier texts that are kept as bases for patches, in bytes.
const MAX_HISTORY_BYTES: usize = 2 * 1024 * 1024;

/// Holds the configuration in force and earlier texts.
pub struct Keeper {
    state: RefCell<State>,
    has_read_store: Cell<bool>,
    store_read: Event,
}

impl Default for Keeper {
    fn default() -> Self {
        let state = RefCell::new(State::with_history(MAX_HISTORY_BYTES));
        Self { state, has_read_store: Cell::new(false), store_read: Event::new() }
    }
}

impl Keeper {
    /// Applies the configuration part of an agent's report, and returns that of the reply.
    ///
    /// `text` is empty unless the last reply to the same agent requested it.
    pub fn apply_report(&self, revision: u64, text: &str) -> Notice {
        self.state.borrow_mut().observe_revision(revision);
        if !text.is_empty() {
            self.offer(revision, text);
        }
        let state = self.state.borrow();
        Notice { revision: state.revision(), wants_text: state.needs_text_of(revision) }
    }

    /// Puts `text` in force if it is valid and `revision` is newer than the one in force.
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

    /// Returns the configuration for an agent that has revision `have`: a patch if its base is
    /// kept, otherwise the whole text.
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

    /// Records that the configuration, if there is any, was read from the store.
    pub fn set_read(&self) {
        self.has_read_store.set(true);
        self.store_read.notify(usize::MAX);
    }

    /// Waits until the configuration was read from the store once.
    pub async fn wait_until_read(&self) {
        while !self.has_read_store.get() {
            self.store_read.listen().await;
        }
    }

    /// Returns the values in force for `subject`.
    pub fn resolve(&self, subject: &Subject<'_>) -> Values {
        self.state.borrow().config().resolve(subject, unix_now_s())
    }

    /// Returns the failure domains that the configuration in force evacuates.
    pub fn evacuated_domains(&self) -> BTreeSet<Name> {
        self.state.borrow().config().evacuated_domains(unix_now_s())
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision()
    }

    /// Returns the state as JSON, for operators.
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
