//! Learns from the worker's usage reports, which arrive with a delay.

use crate::agent::Agent;
use crate::state::State;
use crate::worker::Attachment;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;
use shallotflow_core::time::Time;
use shallotflow_wire::control::{Sample, Usage};
use spdlog::debug;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Reads usage reports; never returns.
pub(crate) async fn follow_usage(agent: Agent) {
    let mut after_us = 0;
    loop {
        monoio::time::sleep(POLL_INTERVAL).await;
        let Some(attachment) = agent.state().attachment.clone() else { continue };
        let call = Usage { incarnation: agent.incarnation(), after_us };
        match agent.control().usage(call).await {
            Ok(usage) => {
                for sample in &usage.samples {
                    after_us = after_us.max(sample.at_us);
                    agent.state_mut().apply_sample(&attachment, sample);
                }
            }
            // The watch of the worker's list handles a lost worker.
            Err(error) => debug!("no usage reports", kv: { error = error.to_string() }),
        }
    }
}

impl State {
    fn apply_sample(&mut self, attachment: &Attachment, sample: &Sample) {
        let sampled = attachment.from_worker(Time::from_micros(sample.at_us));
        self.learn_slowdown(&sample.kind, sample.slowdown_milli, sampled);
        if let Some(key) = &sample.key {
            self.learn_usage(key, &sample.usage, sampled);
        }
    }

    /// Attributes a slowdown to the kinds of work that ran when it was sampled.
    fn learn_slowdown(&mut self, kind: &Name, slowdown_milli: u32, sampled: Time) {
        let Some(kinds) = self.colocation.history.at(sampled) else { return };
        let mut neighbors = kinds.to_vec();
        let Some(position) = neighbors.iter().position(|other| other == kind) else { return };
        neighbors.swap_remove(position);
        let slowdown = f64::from(slowdown_milli) / 1_000.0;
        self.colocation.disturbance.learn(kind, &neighbors, slowdown, sampled);
    }

    /// Learns the usage of a task; raises its memory reservation if it used more.
    fn learn_usage(&mut self, key: &Key, usage: &Bundle, sampled: Time) {
        let Some(task) = self.leases.get(key) else { return };
        let (kind, declared) = (task.grant.kind.clone(), task.grant.resources);
        let running = task.may_run();
        self.colocation.estimates.learn_usage(&kind, usage, &declared, sampled);
        let Some(reserved) = self.reserved(key).filter(|_| running) else { return };
        let used_memory = Bundle { memory_mib: usage.memory_mib, ..Bundle::default() };
        if !reserved.holds(&used_memory) {
            self.resize_task(key, reserved.max(&used_memory));
        }
    }
}
