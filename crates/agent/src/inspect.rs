//! Readiness and state dump for operators.

use crate::agent::Agent;
use serde_json::{Value, json};
use shallotflow_core::class::Class;
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_runtime::operators::{Inspect, NotReady};

impl Inspect for Agent {
    fn ready(&self) -> Result<(), NotReady> {
        let state = self.state();
        if state.attachment.is_none() {
            return Err(NotReady("the worker is not attached yet".to_owned()));
        }
        if state.draining {
            return Err(NotReady("the fleet configuration drains this worker".to_owned()));
        }
        Ok(())
    }

    fn dump(&self) -> Value {
        let now = Monotonic.now();
        let state = self.state();
        let class = |class: Class| {
            json!({
                "running": state.admission.running(class),
                "waiting": state.admission.queue(class).len(),
                "reserved": state.admission.used_by(class),
            })
        };
        let tasks: Vec<Value> = state
            .leases
            .tasks()
            .map(|(key, task)| {
                json!({
                    "task": key.to_string(),
                    "kind": task.grant.kind,
                    "phase": task.phase,
                    "lease_left_ms": task.deadline.remaining(now).as_millis() as u64,
                    "run_ms": task.run_ms,
                    "share_milli": state.colocation.share_milli(key),
                    "straggler": state.is_straggler(task),
                })
            })
            .collect();
        json!({
            "worker": self.settings().worker,
            "incarnation": self.incarnation(),
            "boot": state.attachment.as_ref().map(|attachment| attachment.boot),
            "capacity": state.admission.capacity(),
            "reserve": state.reserve(now),
            "quick": class(Class::Quick),
            "watch": class(Class::Watch),
            "batch": class(Class::Batch),
            "tasks": tasks,
            "throttle_step": state.colocation.controller.step(),
            "slowdown_milli": state.slowdown_milli(now),
            "entries": state.sessions.keys().map(ToString::to_string).collect::<Vec<_>>(),
            "config_revision": state.config.revision(),
            "leaving": state.leaving,
        })
    }
}
