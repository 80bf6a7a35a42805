//! Keeps the configuration in force.

use super::Notice;
use serde_json::json;
use shallotflow_core::fleet::{Subject, Values};
use shallotflow_core::metric;
use shallotflow_policy::spread::{Offer, State};
use shallotflow_wire::proto;
use std::cell::RefCell;
use std::time::SystemTime;

/// The configuration of this entry.
#[derive(Default)]
pub struct Keeper {
    state: RefCell<State>,
}

impl Keeper {
    /// Takes the configuration part of a report and gives that of the reply.
    ///
    /// `text` is empty unless the last reply to the same agent asked for it.
    pub fn hear(&self, revision: u64, text: &str) -> Notice {
        self.state.borrow_mut().hear(revision);
        if !text.is_empty() {
            self.offer(revision, text);
        }
        let state = self.state.borrow();
        Notice { revision: state.revision(), want: state.wants_text_of(revision) }
    }

    /// Puts a text in force, if it is newer and valid.
    pub fn offer(&self, revision: u64, text: &str) {
        match self.state.borrow_mut().offer(revision, text) {
            Offer::InForce => {
                metrics::gauge!(metric::CONFIG_REVISION).set(revision as f64);
                spdlog::info!("configuration in force", kv: { revision });
            }
            Offer::Known => {}
            Offer::Refused(refusal) => {
                spdlog::error!("configuration refused", kv: { revision, reason: = refusal });
            }
        }
    }

    /// The answer to an agent that fetches.
    pub fn fetch(&self) -> proto::ConfigReply {
        let state = self.state.borrow();
        proto::ConfigReply { revision: state.revision(), text: state.text().to_string() }
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
            "behind": state.wants(),
            "refused": state.refusal(),
            "config": **state.config(),
        })
    }
}

fn unix_now_s() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
