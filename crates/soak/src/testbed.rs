//! The processes of a soak, their addresses and settings.

use crate::child::{Child, WorkerEvent};
use crate::proxy::{self, Link};
use anyhow::{Context, ensure};
use futures_channel::mpsc::UnboundedSender;
use monoio::net::TcpListener;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Number of entries: the owner, one that takes over from it, and another one.
pub const ENTRIES: usize = 3;
/// Maximum number of processes: each takes some 10 MB, so half of a usual machine's memory stays
/// free.
pub const MAX_PROCESSES: usize = 300;

/// Number of failure domains that the workers are spread over.
pub const DOMAINS: usize = 3;

const CALLERS_PORT: u16 = 7_000;
const PEERS_PORT: u16 = 7_001;
const OPERATORS_PORT: u16 = 7_002;
const GRAPHS_PORT: u16 = 7_003;
const STORE_PORT: u16 = 7_100;
const CONTROL_PORT: u16 = 7_110;
const TARGET_PORT: u16 = 7_111;
const RUNS_PORT: u16 = 7_112;
const AGENT_PORT: u16 = 7_010;
const AGENT_OPERATORS_PORT: u16 = 7_011;

/// The failure domain of a worker, both by index.
pub fn domain_of(worker: usize) -> usize {
    worker % DOMAINS
}

/// The name of a failure domain.
pub fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}

/// The processes and the links between them.
#[derive(Debug)]
pub struct Testbed {
    /// The store.
    pub store: Child,
    /// The entries.
    pub entries: Vec<Child>,
    /// The workers.
    pub workers: Vec<Child>,
    /// Their agents.
    pub agents: Vec<Child>,
    /// The links with their names.
    pub links: Vec<(String, Link)>,
    /// Address at which operators reach the store, without a proxy.
    pub store_address: SocketAddr,
    /// Addresses at which callers reach the entries.
    pub callers: Vec<SocketAddr>,
}

/// The loopback addresses of one soak; the loopback network has 2^24 addresses.
struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Derives the network from the process identifier, so that concurrent soaks do not collide.
    fn new() -> Self {
        let id = std::process::id();
        Self { second: (64 + id % 128) as u8, third: (id / 128 % 100) as u8 }
    }

    fn host(&self, number: usize, port: u16) -> SocketAddr {
        let (high, low) = (number / 200, number % 200 + 1);
        let third = self.third + high as u8;
        SocketAddr::from((Ipv4Addr::new(127, self.second, third, low as u8), port))
    }
}

struct Builder<'a> {
    network: Network,
    hosts: usize,
    programs: &'a Path,
    directory: &'a Path,
    events: UnboundedSender<WorkerEvent>,
    links: Vec<(String, Link)>,
}

impl Builder<'_> {
    fn next_host(&mut self) -> usize {
        self.hosts += 1;
        self.hosts
    }

    /// Starts a proxy for `target` and returns the address of the proxy.
    fn link(&mut self, name: String, target: SocketAddr) -> anyhow::Result<SocketAddr> {
        let host = self.next_host();
        let address = self.network.host(host, target.port());
        let listener = TcpListener::bind(address)
            .with_context(|| format!("cannot bind {address}; wait for other soaks to end"))?;
        let link = Link::default();
        monoio::spawn(proxy::serve(listener, target, link.clone()));
        self.links.push((name, link));
        Ok(address)
    }

    fn child(
        &self,
        name: String,
        program: &str,
        settings: &str,
        worker: Option<usize>,
    ) -> anyhow::Result<Child> {
        let program: PathBuf = self.programs.join(program);
        Child::new(name, program, self.directory, settings, worker, self.events.clone())
    }
}

impl Testbed {
    /// A testbed of `processes` processes, none of which runs yet.
    ///
    /// # Errors
    ///
    /// Fails if the number of processes is out of range or an address is in use.
    pub fn new(
        processes: usize,
        programs: &Path,
        directory: &Path,
        events: UnboundedSender<WorkerEvent>,
    ) -> anyhow::Result<Self> {
        let minimum = 1 + ENTRIES + 2;
        ensure!(
            (minimum..=MAX_PROCESSES).contains(&processes),
            "{processes} processes are not a valid testbed; ask for {minimum} to {MAX_PROCESSES}"
        );
        let (network, links) = (Network::new(), Vec::new());
        let mut builder = Builder { network, hosts: 0, programs, directory, events, links };
        let host = builder.next_host();
        let store = builder.network.host(host, STORE_PORT);
        let settings = format!(
            "[standin]\nstore_listen = {store}\ncontrol_listen =\ntarget_listen =\nlog = warn\n"
        );
        let store_child = builder.child("store".into(), "shallotflow-standin", &settings, None)?;
        let mut testbed = Self {
            store: store_child,
            store_address: store,
            entries: Vec::new(),
            workers: Vec::new(),
            agents: Vec::new(),
            links: Vec::new(),
            callers: Vec::new(),
        };
        let mut peers = Vec::new();
        for number in 0..ENTRIES {
            testbed.add_entry(&mut builder, number, store, &mut peers)?;
        }
        for number in 0..(processes - 1 - ENTRIES) / 2 {
            testbed.add_worker(&mut builder, number, store, &peers)?;
        }
        testbed.links = builder.links;
        Ok(testbed)
    }

    fn add_entry(
        &mut self,
        builder: &mut Builder<'_>,
        number: usize,
        store: SocketAddr,
        peers: &mut Vec<SocketAddr>,
    ) -> anyhow::Result<()> {
        let host = builder.next_host();
        let address = |builder: &Builder<'_>, port| builder.network.host(host, port);
        let (callers, own_peers) = (address(builder, CALLERS_PORT), address(builder, PEERS_PORT));
        let (operators, graphs) = (address(builder, OPERATORS_PORT), address(builder, GRAPHS_PORT));
        let store = builder.link(format!("entry-{number} to store"), store)?;
        let announce = builder.link(format!("peers to entry-{number}"), graphs)?;
        self.callers.push(builder.link(format!("callers to entry-{number}"), callers)?);
        peers.push(own_peers);
        let settings = format!(
            "[entry]\nname = entry-{number}\ncallers_listen = {callers}\n\
             peers_listen = {own_peers}\noperators_listen = {operators}\n\
             graphs_listen = {graphs}\ngraphs_announce = {announce}\nstore = {store}\n\
             drain = 2s\nlog = info\n"
        );
        let child =
            builder.child(format!("entry-{number}"), "shallotflow-entry", &settings, None)?;
        self.entries.push(child);
        Ok(())
    }

    fn add_worker(
        &mut self,
        builder: &mut Builder<'_>,
        number: usize,
        store: SocketAddr,
        peers: &[SocketAddr],
    ) -> anyhow::Result<()> {
        let host = builder.next_host();
        let address = |port| builder.network.host(host, port);
        let (control, target, runs) =
            (address(CONTROL_PORT), address(TARGET_PORT), address(RUNS_PORT));
        let (listen, operators) = (address(AGENT_PORT), address(AGENT_OPERATORS_PORT));
        let settings = format!(
            "[standin]\ncontrol_listen = {control}\ntarget_listen = {target}\n\
             runs_listen = {runs}\nworker = worker-{number}\nprint_facts = true\ndrain = 1s\n\
             log = warn\n[capacity]\nmillicores = 4000\nmemory_mib = 4000\nslots = 8\n"
        );
        let name = format!("worker-{number}");
        let child = builder.child(name, "shallotflow-standin", &settings, Some(number))?;
        self.workers.push(child);
        let runs = builder.link(format!("agent-{number} to worker"), runs)?;
        let store = builder.link(format!("agent-{number} to store"), store)?;
        let entries: Vec<String> = peers.iter().map(ToString::to_string).collect();
        let settings = format!(
            "[agent]\nworker = worker-{number}\ndomain = {}\nlisten = {listen}\n\
             operators_listen = {operators}\nentries = {}\ntarget = {target}\n\
             control = {control}\nruns = {runs}\nstore = {store}\nrun_lease = 3s\ndrain = 1s\n\
             log = info\n",
            domain_name(domain_of(number)),
            entries.join(", ")
        );
        let child =
            builder.child(format!("agent-{number}"), "shallotflow-agent", &settings, None)?;
        self.agents.push(child);
        Ok(())
    }

    /// Every process, the store first.
    pub fn all(&mut self) -> impl Iterator<Item = &mut Child> {
        std::iter::once(&mut self.store)
            .chain(&mut self.entries)
            .chain(&mut self.workers)
            .chain(&mut self.agents)
    }
}
