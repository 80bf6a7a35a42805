//! Sends reports to one entry, one at a time.

use super::{Wake, message};
use crate::agent::Agent;
use crate::batch;
use prost::Message;
use shallotflow_core::metric;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_policy::spread::Decision;
use shallotflow_wire::proto;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::Channel;
use spdlog::{debug, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of the reply to a report.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Time between reports if the reply does not set it.
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(500);

/// The report session with one entry.
pub(super) struct Session {
    agent: Agent,
    channel: Channel,
    wake: Rc<Wake>,
    sequence: u64,
    due: Time,
    failures: u32,
    wants_config: bool,
}

impl Session {
    pub(super) fn new(agent: Agent, entry: SocketAddr, wake: Rc<Wake>) -> Self {
        let channel = Channel::new(entry);
        // An earlier session may have reached the same entry at another address; the sequence must
        // continue above it.
        let sequence = Monotonic.now().as_micros();
        Self { agent, channel, wake, sequence, due: Time::ZERO, failures: 0, wants_config: false }
    }

    /// Sends reports until the session is replaced or removed.
    pub(super) async fn run(mut self) {
        let entry = self.channel.address();
        while self.is_wanted() {
            self.wait().await;
            let Some(report) = message::report(&self.agent, self.sequence + 1, self.wants_config)
            else {
                self.due = Monotonic.now().after(RETRY_PAUSE);
                continue;
            };
            self.sequence += 1;
            match self.send(report).await {
                Ok(()) => self.failures = 0,
                Err(error) => {
                    warn!("a report failed", kv: { entry = entry.to_string(), error = error.to_string() });
                    self.back_off();
                }
            }
        }
        debug!("session ended", kv: { entry = entry.to_string() });
    }

    fn is_wanted(&self) -> bool {
        let state = self.agent.state();
        let current = state.sessions.get(&self.channel.address());
        current.is_some_and(|wake| Rc::ptr_eq(wake, &self.wake))
    }

    /// Waits until a report is due or was requested, and until the budget allows it.
    async fn wait(&self) {
        let remaining = self.due.remaining(Monotonic.now());
        // After the timeout as after a notification, a report is due.
        let _ = monoio::time::timeout(remaining, self.wake.wait()).await;
        let ready = self.agent.state().budget.ready();
        monoio::time::sleep(ready.remaining(Monotonic.now())).await;
        self.wake.clear();
    }

    /// Sends one report and handles its reply; a reply after the timeout is discarded.
    async fn send(&mut self, report: proto::ReportRequest) -> anyhow::Result<()> {
        let sent = Monotonic.now();
        // The configuration text is not charged to the budget: reports renew leases and must not
        // wait for it.
        let bytes = report.encoded_len() - report.config_text.len();
        self.agent.state_mut().budget.spend(bytes, sent);
        let origin = self.channel.origin();
        let mut client = SchedulerClient::with_origin(self.channel.clone(), origin);
        let answer = monoio::time::timeout(REPLY_TIMEOUT, client.report(report.clone())).await;
        let Ok(answer) = answer else {
            anyhow::bail!("no reply within {REPLY_TIMEOUT:?}; check the entry's load");
        };
        let reply = answer?.into_inner();
        metrics::counter!(metric::REPORTS).increment(1);
        self.agent.state_mut().budget.spend(reply.encoded_len(), Monotonic.now());
        if reply.sequence != report.sequence {
            anyhow::bail!("reply to report {} instead of {}", reply.sequence, report.sequence);
        }
        if !self.is_wanted() {
            anyhow::bail!("another session with this entry has started");
        }
        self.handle_reply(&reply, &report, sent);
        self.fetch_config(&mut client).await
    }

    fn handle_reply(
        &mut self,
        reply: &proto::ReportReply,
        report: &proto::ReportRequest,
        sent: Time,
    ) {
        let now = Monotonic.now();
        let heartbeat = Duration::from_millis(reply.beat_ms.into());
        self.due = sent.after(if heartbeat.is_zero() { DEFAULT_HEARTBEAT } else { heartbeat });
        self.wants_config = reply.want_config;
        let decisions = message::reply(reply, report, sent);
        let mut state = self.agent.state_mut();
        state.apply_reply(self.channel.address(), reply);
        if report.leaving {
            state.leave_acknowledged.insert(self.channel.address());
        }
        let commands = state.leases.apply_reply(&decisions, now);
        drop(state);
        batch::execute(&self.agent, commands);
        self.agent.tick();
    }

    /// Fetches the configuration if a newer revision than the one in force is known.
    async fn fetch_config(&mut self, client: &mut SchedulerClient<Channel>) -> anyhow::Result<()> {
        if !self.agent.state().config.needs_update() {
            return Ok(());
        }
        let have_revision = self.agent.state().config.revision();
        let fetched = client.fetch_config(proto::ConfigRequest { have_revision });
        let answer = monoio::time::timeout(REPLY_TIMEOUT, fetched).await;
        let Ok(answer) = answer else {
            anyhow::bail!("no configuration within {REPLY_TIMEOUT:?}; check the entry's load");
        };
        let update = message::update(&answer?.into_inner());
        let decision = self.agent.state_mut().config.apply_update(&update);
        if let Decision::Refused(refusal) = decision {
            warn!("a configuration was refused", kv: { refusal = refusal.to_string() });
        }
        self.agent.apply_config();
        Ok(())
    }

    fn back_off(&mut self) {
        self.channel.reset();
        let pause = RETRY_PAUSE * 2_u32.saturating_pow(self.failures);
        self.failures = (self.failures + 1).min(8);
        self.due = Monotonic.now().after(pause.min(MAX_RETRY_PAUSE));
    }
}
