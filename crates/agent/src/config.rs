//! Applies the fleet configuration to this worker.

use crate::agent::Agent;
use crate::state::State;
use shallotflow_core::fleet::{Subject, Values};
use shallotflow_core::metric;
use std::time::{SystemTime, UNIX_EPOCH};

impl Agent {
    /// Applies the current values of the configuration for this worker.
    pub(crate) fn apply_config(&self) {
        let settings = self.settings();
        let subject =
            Subject { domain: &settings.domain, worker: &settings.worker, kind: "", caller: "" };
        let mut state = self.state_mut();
        let values = state.config.config().resolve(&subject, unix_now_s());
        metrics::gauge!(metric::CONFIG_REVISION).set(state.config.revision() as f64);
        if state.values == values {
            return;
        }
        let drain_changed = state.set_values(values);
        drop(state);
        if drain_changed {
            self.wake_all();
        }
        self.tick();
    }
}

impl State {
    /// Sets new values; returns whether they start or end a drain of the worker.
    fn set_values(&mut self, values: Values) -> bool {
        self.colocation.peak.set_minimum(values.reserve);
        self.admission.cap_watchers(values.watch_cap);
        let changed = self.draining != values.drain;
        self.draining = values.drain;
        if self.draining {
            self.admission.leave();
        } else if !self.leaving {
            self.admission.cancel_leave();
        }
        self.values = values;
        changed
    }
}

fn unix_now_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
