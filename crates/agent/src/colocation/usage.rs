//! Learns from the worker's usage reports, which describe moments that have passed.

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

/// Reads usage reports; never ends.
pub(crate) async fn follow_usage(agent: Agent) {
    let mut after_us = 0;
    loop {
        monoio::time::sleep(POLL_INTERVAL).await;
        let Some(attachment) = agent.state().attachment.clone() else { continue };
        let call = Usage { incarnation: agent.incarnation(), after_us };
        match agent.control().usage(call).await {
            Ok(measured) => {
                for sample in &measured.samples {
                    after_us = after_us.max(sample.at_us);
                    agent.state_mut().learn(&attachment, sample);
                }
            }
            // The watch of the worker's list deals with a worker that is gone.
            Err(error) => debug!("no usage reports", kv: { error = error.to_string() }),
        }
    }
}

impl State {
    fn learn(&mut self, attachment: &Attachment, sample: &Sample) {
        let moment = attachment.from_worker(Time::from_micros(sample.at_us));
        self.learn_slowdown(&sample.kind, sample.slowdown_milli, moment);
        if let Some(key) = &sample.key {
            self.learn_usage(key, &sample.usage, moment);
        }
    }

    /// Applies a slowdown to what ran at the moment that it describes.
    fn learn_slowdown(&mut self, kind: &Name, slowdown_milli: u32, moment: Time) {
        let Some(kinds) = self.room.history.at(moment) else { return };
        let mut neighbors = kinds.to_vec();
        let Some(own) = neighbors.iter().position(|other| other == kind) else { return };
        neighbors.swap_remove(own);
        let slowdown = f64::from(slowdown_milli) / 1_000.0;
        self.room.disturbance.learn(kind, &neighbors, slowdown, moment);
    }

    /// Corrects what is set aside for a task by what it used.
    fn learn_usage(&mut self, key: &Key, usage: &Bundle, moment: Time) {
        let Some(task) = self.leases.get(key) else { return };
        let (kind, declared) = (task.grant.kind.clone(), task.grant.resources);
        let running = task.may_run();
        self.room.estimates.learn_usage(&kind, usage, &declared, moment);
        let Some(reserved) = self.reserved(key).filter(|_| running) else { return };
        let grown = Bundle { memory_mib: usage.memory_mib, ..Bundle::default() };
        if !reserved.holds(&grown) {
            self.resize_task(key, reserved.max(&grown));
        }
    }
}
