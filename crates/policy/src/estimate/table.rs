//! Learned ratios by kind.

use super::{Kind, Settings};
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Learned resource demands and run times by kind.
#[derive(Clone, Debug)]
pub struct Table {
    settings: Settings,
    kinds: HashMap<Name, Entry>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    kind: Kind,
    updated: Time,
}

impl Table {
    /// Creates an empty table, which returns every declaration unchanged.
    pub fn new(settings: Settings) -> Self {
        Self { settings, kinds: HashMap::new() }
    }

    /// Number of measured kinds.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Whether there are no measured kinds.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Learns from the run time of a task that succeeded.
    pub fn learn_run(&mut self, kind: &Name, run: Duration, declared: Duration, now: Time) {
        let settings = self.settings.clone();
        let (run, declared) = (run.as_micros() as f64, declared.as_micros() as f64);
        self.entry(kind, now).kind.learn_run(run, declared, &settings);
    }

    /// Learns from the resource usage of a running task.
    pub fn learn_usage(&mut self, kind: &Name, usage: &Bundle, declared: &Bundle, now: Time) {
        let settings = self.settings.clone();
        let kind = &mut self.entry(kind, now).kind;
        kind.learn_memory(usage.memory_mib.into(), declared.memory_mib.into(), &settings);
        kind.learn_millicores(usage.millicores.into(), declared.millicores.into(), &settings);
    }

    /// Expected run time of a task of `kind` with the declared run time.
    pub fn expected_run(&self, kind: &str, declared: Duration) -> Duration {
        let ratio = self.kinds.get(kind).map_or(1.0, |entry| entry.kind.run_ratio(&self.settings));
        declared.mul_f64(ratio)
    }

    /// Resources to reserve for a task of `kind` with the declared demand.
    ///
    /// Only memory and processors are corrected; slots, connections and accelerators are exact.
    pub fn need(&self, kind: &str, declared: &Bundle) -> Bundle {
        let Some(entry) = self.kinds.get(kind) else { return *declared };
        let memory = entry.kind.memory_ratio(&self.settings);
        let millicores = entry.kind.millicores_ratio(&self.settings);
        Bundle {
            memory_mib: scaled(declared.memory_mib, memory),
            millicores: scaled(declared.millicores, millicores),
            ..*declared
        }
    }

    /// Whether a task that has run for `elapsed` exceeds its expected run time by the straggler
    /// factor.
    pub fn is_straggler(&self, kind: &str, declared: Duration, elapsed: Duration) -> bool {
        let expected = self.expected_run(kind, declared);
        !expected.is_zero() && elapsed > expected * self.settings.straggler_factor
    }

    fn entry(&mut self, kind: &Name, now: Time) -> &mut Entry {
        if !self.kinds.contains_key(kind) && self.kinds.len() >= self.settings.kinds {
            self.remove_oldest();
        }
        let entry = self.kinds.entry(kind.clone()).or_default();
        entry.updated = now;
        entry
    }

    fn remove_oldest(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(name, entry)| (entry.updated, (*name).clone()));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.kinds.remove(&name);
        }
    }
}

/// `amount` times `ratio`, at least one unless `amount` is zero.
fn scaled(amount: u32, ratio: f64) -> u32 {
    // The cast saturates.
    let scaled = (f64::from(amount) * ratio).ceil() as u32;
    if amount == 0 { 0 } else { scaled.max(1) }
}
