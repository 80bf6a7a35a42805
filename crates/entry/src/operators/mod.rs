//! What an entry tells its operators.

use crate::state::State;
use serde_json::{Value, json};
use shallotflow_core::class::Class;
use shallotflow_runtime::operators::{Inspect, NotReady};
use std::rc::Rc;

/// The tables of an entry as operators see them.
pub struct View {
    state: Rc<State>,
}

impl View {
    /// A view of the tables of an entry.
    pub fn new(state: Rc<State>) -> Self {
        Self { state }
    }

    fn targets(&self) -> Vec<Value> {
        let now = self.state.now();
        let members = self.state.members.borrow();
        let rows = members.iter().map(|member| {
            let announcement = &member.announcement;
            let target = &announcement.target;
            json!({
                "worker": target.worker,
                "domain": target.domain,
                "address": target.address,
                "kinds": target.kinds,
                "leaving": announcement.leaving,
                "incarnation": announcement.incarnation,
                "sequence": announcement.sequence,
                "boot": announcement.boot,
                "capacity": announcement.capacity,
                "age_ms": now.since(member.heard).as_millis() as u64,
            })
        });
        rows.collect()
    }
}

impl Inspect for View {
    fn ready(&self) -> Result<(), NotReady> {
        if self.state.is_leaving() {
            return Err(NotReady("leaving".to_owned()));
        }
        Ok(())
    }

    fn dump(&self) -> Value {
        let state = &self.state;
        json!({
            "settings": state.settings,
            "leaving": state.is_leaving(),
            "exchanges": state.gate.active(),
            "connections": state.gate.connections(),
            "idle_connections_to_agents": {
                "quick": state.pool(Class::Quick).idle(),
                "watch": state.pool(Class::Watch).idle(),
            },
            "entries": state.directory.borrow().addresses().collect::<Vec<_>>(),
            "config": state.config.dump(),
            "targets": self.targets(),
            "batch": state.batch.dump(),
        })
    }
}
