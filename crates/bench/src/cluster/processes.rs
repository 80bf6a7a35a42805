//! All processes of a testbed.

use super::backends::Backend;
use super::balancer::Balancer;
use super::{Node, Settings, Worker};
use shallotflow_core::settings::standin;
use shallotflow_runtime::executor;
use shallotflow_standin::Handles;
use shallotflow_standin::audit::Audit;
use shallotflow_standin::store::{Counters, Faults};
use shallotflow_wire::proto::TargetsRequest;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::Channel;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(20);
const START_POLL: Duration = Duration::from_millis(50);

/// The platform's store.
#[derive(Debug)]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    /// Controls its injected faults.
    pub faults: Faults,
    /// Counts its reads, writes and lease renewals.
    pub counters: Counters,
    node: Node,
}

/// An agent.
#[derive(Debug)]
pub struct Agent {
    /// Address to which entries send requests.
    pub requests: SocketAddr,
    /// The process.
    pub node: Node,
}

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// Its addresses.
    pub backend: Backend,
    /// The process.
    pub node: Node,
}

/// The processes of a testbed.
#[derive(Debug)]
pub struct Cluster {
    /// What the workers recorded, independently of the scheduler.
    pub audit: Audit,
    /// The platform's store.
    pub platform: Platform,
    /// The workers, by index.
    pub workers: Vec<Worker>,
    /// The entries, by index.
    pub entries: Vec<Entry>,
    /// The agents, by the index of their workers.
    pub agents: Vec<Agent>,
    /// The platform's balancer.
    pub balancer: Balancer,
    settings: Settings,
}

impl Cluster {
    /// Starts every process and waits until the entries know the targets.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot start or the entries do not know the targets within 20 s.
    pub fn start(settings: Settings) -> anyhow::Result<Self> {
        let audit = Audit::default();
        let platform = Platform::start(settings.store())?;
        let balancer = Balancer::start()?;
        let mut cluster = Self {
            audit,
            platform,
            workers: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            balancer,
            settings,
        };
        let site = cluster.settings.testbed.site.clone();
        for index in 0..site.entries {
            let entry = cluster.start_entry(index)?;
            cluster.entries.push(entry);
        }
        for index in 0..site.workers {
            let worker = Worker::start(&cluster.settings, &cluster.audit, index, false)?;
            cluster.workers.push(worker);
            let agent = cluster.start_agent(index)?;
            cluster.agents.push(agent);
        }
        cluster.await_targets()?;
        Ok(cluster)
    }

    /// The settings of its processes.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Kills the entry with this index.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].node.kill();
        self.balancer.backends.remove(&self.entries[index].backend);
    }

    /// Kills the worker with this index and its agent.
    pub fn kill_worker(&mut self, index: usize) {
        self.agents[index].node.kill();
        self.workers[index].kill();
    }

    /// Replaces an entry that has ended by a new one, at new addresses.
    ///
    /// # Errors
    ///
    /// Fails when the replacement cannot start.
    pub fn replace_entry(&mut self, index: usize) -> anyhow::Result<()> {
        self.balancer.backends.remove(&self.entries[index].backend);
        self.entries[index] = self.start_entry(index)?;
        Ok(())
    }

    /// Replaces an agent that has ended by a new one, at new addresses.
    ///
    /// # Errors
    ///
    /// Fails when the replacement cannot start.
    pub fn replace_agent(&mut self, index: usize) -> anyhow::Result<()> {
        self.agents[index] = self.start_agent(index)?;
        Ok(())
    }

    /// Replaces a worker and its agent, both ended, by new ones.
    ///
    /// # Errors
    ///
    /// Fails when a replacement cannot start.
    pub fn replace_worker(&mut self, index: usize, fails_tasks: bool) -> anyhow::Result<()> {
        let worker = Worker::start(&self.settings, &self.audit, index, fails_tasks)?;
        self.workers[index] = worker;
        self.replace_agent(index)
    }

    /// Stops every agent, worker and entry gracefully and replaces it, one at a time.
    ///
    /// # Errors
    ///
    /// Fails when a process ends with an error or a replacement cannot start.
    pub fn rolling_restart(&mut self) -> anyhow::Result<()> {
        for index in 0..self.agents.len() {
            self.agents[index].node.stop()?;
            self.workers[index].node.stop()?;
            self.replace_worker(index, false)?;
        }
        for index in 0..self.entries.len() {
            self.entries[index].node.stop()?;
            self.replace_entry(index)?;
        }
        Ok(())
    }

    /// Stops every process gracefully: agents first, then entries, workers and the store.
    ///
    /// # Errors
    ///
    /// Fails when a process ended with an error.
    pub fn stop(mut self) -> anyhow::Result<()> {
        self.agents.iter().for_each(|agent| agent.node.request_stop());
        for agent in &mut self.agents {
            agent.node.stop()?;
        }
        self.entries.iter().for_each(|entry| entry.node.request_stop());
        for entry in &mut self.entries {
            entry.node.stop()?;
        }
        for worker in &mut self.workers {
            worker.node.stop()?;
        }
        self.platform.node.stop()
    }

    fn start_entry(&self, index: usize) -> anyhow::Result<Entry> {
        let settings = self.settings.entry(index, self.platform.address);
        let name = settings.name.to_string();
        let main = move |stop, ready| Box::pin(shallotflow_entry::run(settings, stop, ready)) as _;
        let (node, bound) = Node::start::<shallotflow_entry::Bound>(name, main)?;
        let backend =
            Backend { callers: bound.callers, peers: bound.peers, operators: bound.operators };
        self.balancer.backends.add(backend);
        Ok(Entry { backend, node })
    }

    fn start_agent(&self, index: usize) -> anyhow::Result<Agent> {
        let settings = self.settings.agent(index, self.balancer.peers, &self.workers[index]);
        let name = format!("agent-{}", index + 1);
        let main = move |stop, ready| Box::pin(shallotflow_agent::run(settings, stop, ready)) as _;
        let (node, bound) = Node::start::<shallotflow_agent::Bound>(name, main)?;
        Ok(Agent { requests: bound.requests, node })
    }

    /// Waits until some entry knows each target and each entry knows at least one target.
    fn await_targets(&self) -> anyhow::Result<()> {
        let wanted = self.workers.len();
        let entries: Vec<_> = self.entries.iter().map(|entry| entry.backend.peers).collect();
        executor::run(async move {
            let until = Instant::now() + START_TIMEOUT;
            let channels: Vec<_> = entries.into_iter().map(Channel::new).collect();
            loop {
                let known = futures_util::future::join_all(channels.iter().map(targets)).await;
                let distinct: BTreeSet<_> = known.iter().flatten().collect();
                if distinct.len() >= wanted && known.iter().all(|names| !names.is_empty()) {
                    return Ok(());
                }
                if Instant::now() > until {
                    let counts: Vec<_> = known.iter().map(Vec::len).collect();
                    anyhow::bail!("the entries know {counts:?} of {wanted} targets");
                }
                monoio::time::sleep(START_POLL).await;
            }
        })?
    }
}

/// Returns the names of the targets that an entry knows.
async fn targets(entry: &Channel) -> Vec<String> {
    let mut client = SchedulerClient::with_origin(entry.clone(), entry.origin());
    let Ok(reply) = client.list_targets(TargetsRequest::default()).await else {
        return Vec::new();
    };
    reply.into_inner().targets.into_iter().map(|target| target.worker).collect()
}

impl Platform {
    fn start(settings: standin::Settings) -> anyhow::Result<Self> {
        let handles = Handles::default();
        let (faults, counters) = (handles.faults.clone(), handles.counters.clone());
        let main = move |stop, ready| {
            Box::pin(shallotflow_standin::run_with(settings, handles, stop, ready)) as _
        };
        let (node, bound) = Node::start::<shallotflow_standin::Bound>("store", main)?;
        let Some(address) = bound.store else { anyhow::bail!("the store has no address") };
        Ok(Self { address, faults, counters, node })
    }
}
