//! The processes, their addresses and settings.

use crate::child::{Child, Said};
use crate::proxy::{self, Link};
use anyhow::{Context, ensure};
use futures_channel::mpsc::UnboundedSender;
use monoio::net::TcpListener;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Entries of every floor: the owner, one that takes over, and one beside.
pub const ENTRIES: usize = 3;
/// Most processes: each takes some 10 MB, and half of a usual machine's memory stays free.
pub const MOST_PROCESSES: usize = 300;

const CALLERS: u16 = 7_000;
const PEERS: u16 = 7_001;
const OPERATORS: u16 = 7_002;
const GRAPHS: u16 = 7_003;
const STORE: u16 = 7_100;
const CONTROL: u16 = 7_110;
const TARGET: u16 = 7_111;
const RUNS: u16 = 7_112;
const AGENT: u16 = 7_010;
const AGENT_OPERATORS: u16 = 7_011;

/// The processes and the links between them.
#[derive(Debug)]
pub struct Floor {
    /// The store.
    pub store: Child,
    /// The entries.
    pub entries: Vec<Child>,
    /// The workers.
    pub workers: Vec<Child>,
    /// Their agents.
    pub agents: Vec<Child>,
    /// Every link, by its name.
    pub links: Vec<(String, Link)>,
    /// Where callers reach the entries.
    pub callers: Vec<SocketAddr>,
}

/// Addresses of one soak; loopback has 2^24 of them.
struct Net {
    second: u8,
    third: u8,
}

impl Net {
    /// Two soaks at the same time have different process identifiers, and so different networks.
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
    net: Net,
    hosts: usize,
    programs: &'a Path,
    directory: &'a Path,
    says: UnboundedSender<Said>,
    links: Vec<(String, Link)>,
}

impl Builder<'_> {
    fn next_host(&mut self) -> usize {
        self.hosts += 1;
        self.hosts
    }

    /// An address that leads to `target` through a proxy.
    fn link(&mut self, name: String, target: SocketAddr) -> anyhow::Result<SocketAddr> {
        let host = self.next_host();
        let address = self.net.host(host, target.port());
        let listener = TcpListener::bind(address)
            .with_context(|| format!("{address} cannot be bound; wait for other soaks to end"))?;
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
        Child::new(name, program, self.directory, settings, worker, self.says.clone())
    }
}

impl Floor {
    /// A floor of `processes` processes, none of which runs yet.
    ///
    /// # Errors
    ///
    /// Fails when the number allows no worker, or an address is taken.
    pub fn new(
        processes: usize,
        programs: &Path,
        directory: &Path,
        says: UnboundedSender<Said>,
    ) -> anyhow::Result<Self> {
        let least = 1 + ENTRIES + 2;
        ensure!(
            (least..=MOST_PROCESSES).contains(&processes),
            "{processes} processes are no floor; ask for {least} to {MOST_PROCESSES}"
        );
        let (net, links) = (Net::new(), Vec::new());
        let mut builder = Builder { net, hosts: 0, programs, directory, says, links };
        let host = builder.next_host();
        let store = builder.net.host(host, STORE);
        let settings = format!(
            "[standin]\nstore_listen = {store}\ncontrol_listen =\ntarget_listen =\nlog = warn\n"
        );
        let store_child = builder.child("store".into(), "shallotflow-standin", &settings, None)?;
        let mut floor = Self {
            store: store_child,
            entries: Vec::new(),
            workers: Vec::new(),
            agents: Vec::new(),
            links: Vec::new(),
            callers: Vec::new(),
        };
        let mut peers = Vec::new();
        for number in 0..ENTRIES {
            floor.add_entry(&mut builder, number, store, &mut peers)?;
        }
        for number in 0..(processes - 1 - ENTRIES) / 2 {
            floor.add_worker(&mut builder, number, store, &peers)?;
        }
        floor.links = builder.links;
        Ok(floor)
    }

    fn add_entry(
        &mut self,
        builder: &mut Builder<'_>,
        number: usize,
        store: SocketAddr,
        peers: &mut Vec<SocketAddr>,
    ) -> anyhow::Result<()> {
        let host = builder.next_host();
        let at = |builder: &Builder<'_>, port| builder.net.host(host, port);
        let (callers, own_peers) = (at(builder, CALLERS), at(builder, PEERS));
        let (operators, graphs) = (at(builder, OPERATORS), at(builder, GRAPHS));
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
        let at = |port| builder.net.host(host, port);
        let (control, target, runs) = (at(CONTROL), at(TARGET), at(RUNS));
        let (listen, operators) = (at(AGENT), at(AGENT_OPERATORS));
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
            "[agent]\nworker = worker-{number}\nlisten = {listen}\n\
             operators_listen = {operators}\nentries = {}\ntarget = {target}\n\
             control = {control}\nruns = {runs}\nstore = {store}\nrun_lease = 3s\ndrain = 1s\n\
             log = info\n",
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
