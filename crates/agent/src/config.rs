//! The fleet configuration as it applies to this worker.

use crate::agent::Agent;
use crate::state::State;
use shallotflow_core::fleet::{Subject, Values};
use shallotflow_core::metric;
use std::time::{SystemTime, UNIX_EPOCH};

impl Agent {
    /// Puts the values in force that the configuration has for this worker now.
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
        let drained = state.set_values(values);
        drop(state);
        if drained {
            self.wake_all();
        }
        self.tick();
    }
}

impl State {
    /// Takes new values; `true` when they change whether the worker leaves.
    fn set_values(&mut self, values: Values) -> bool {
        self.room.peak.set_minimum(values.reserve);
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
