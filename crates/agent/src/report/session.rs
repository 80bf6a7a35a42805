//! Reports to one entry, one at a time.

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

/// The longest time that a report may stay without a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_RETRY_PAUSE: Duration = Duration::from_secs(2);
const DEFAULT_BEAT: Duration = Duration::from_millis(500);

/// The reports to one entry.
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
        // The same entry may have heard this agent before, through another address.
        let sequence = Monotonic.now().as_micros();
        Self { agent, channel, wake, sequence, due: Time::ZERO, failures: 0, wants_config: false }
    }

    /// Reports until the session is no longer wanted.
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
        let own = state.sessions.get(&self.channel.address());
        own.is_some_and(|wake| Rc::ptr_eq(wake, &self.wake))
    }

    /// Waits until a report is due, or wanted earlier, and the budget has room for it.
    async fn wait(&self) {
        let left = self.due.remaining(Monotonic.now());
        // Whichever ends the wait, a report is due.
        let _ = monoio::time::timeout(left, self.wake.wait()).await;
        let ready = self.agent.state().budget.ready();
        monoio::time::sleep(ready.remaining(Monotonic.now())).await;
        self.wake.take();
    }

    /// Sends one report and takes its reply; a reply that comes after the timeout reaches nobody.
    async fn send(&mut self, report: proto::ReportRequest) -> anyhow::Result<()> {
        let sent = Monotonic.now();
        // The text is not charged: reports renew leases, and must not wait until it is paid off.
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
            anyhow::bail!("another session with this entry has begun");
        }
        self.take(&reply, &report, sent);
        self.fetch_config(&mut client).await
    }

    fn take(&mut self, reply: &proto::ReportReply, report: &proto::ReportRequest, sent: Time) {
        let now = Monotonic.now();
        let beat = Duration::from_millis(reply.beat_ms.into());
        self.due = sent.after(if beat.is_zero() { DEFAULT_BEAT } else { beat });
        self.wants_config = reply.want_config;
        let decisions = message::reply(reply, report, sent);
        let mut state = self.agent.state_mut();
        state.heard(self.channel.address(), reply);
        if report.leaving {
            state.told_leaving.insert(self.channel.address());
        }
        let commands = state.leases.apply_reply(&decisions, now);
        drop(state);
        batch::carry_out(&self.agent, commands);
        self.agent.tick();
    }

    /// Fetches the configuration when a newer one than the one in force is known.
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
        let offer = self.agent.state_mut().config.apply_update(&update);
        if let Decision::Refused(refusal) = offer {
            warn!("a configuration was refused", kv: { refusal = refusal.to_string() });
        }
        self.agent.apply_config();
        Ok(())
    }

    fn back_off(&mut self) {
        self.channel.reset();
        let pause = RETRY_PAUSE * 2_u32.saturating_pow(self.failures);
        self.failures = (self.failures + 1).min(8);
        self.due = Monotonic.now().after(pause.min(LONGEST_RETRY_PAUSE));
    }
}
