//! Settings of the stand-ins of the platform.

use super::limits::Limits;
use super::span::{ms, s};
use crate::ini::codec::{Address, Count, Label, Line, List, Maybe, Size, Span};
use crate::ini::{self, Document, Key, Table, key};
use crate::name::Name;
use crate::resources::Bundle;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// How the stand-ins run; a process may run any of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Where the store listens, if it runs here.
    pub store_listen: Option<SocketAddr>,
    /// Where the worker's control interface listens, if the worker runs here.
    pub control_listen: Option<SocketAddr>,
    /// Where the target listens, if the worker runs here.
    pub target_listen: Option<SocketAddr>,
    /// The worker's name.
    pub worker: Name,
    /// What the worker can hold.
    pub capacity: Bundle,
    /// The kinds that the target serves.
    pub kinds: Vec<Name>,
    /// What it logs: a level, then `target=level` for parts of it.
    pub log: Name,
    /// Limits on HTTP connections.
    pub limits: Limits,
    /// The seed of service times.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        Self {
            store_listen: None,
            control_listen: any_port,
            target_listen: any_port,
            worker: "worker-1".into(),
            capacity: Bundle {
                slots: 8,
                connections: 64,
                millicores: 64_000,
                memory_mib: 250_000,
                accelerators: 0,
            },
            kinds: Vec::new(),
            log: "info".into(),
            limits: Limits::default(),
            seed: 1,
        }
    }
}

/// The keys of the settings file.
pub const KEYS: &[Key<Settings>] = &[
    key!("standin", store_listen: Maybe<Address>, "Where the store listens; empty to leave it out."),
    key!("standin", control_listen: Maybe<Address>, "Where the worker's control interface listens; empty to leave it out."),
    key!("standin", target_listen: Maybe<Address>, "Where the target listens; empty to leave it out."),
    key!("standin", worker: Label, "The worker's name."),
    key!("standin", kinds: List<Label>, "The kinds that the target serves."),
    key!("standin", log: Line, "What it logs: a level, then `target=level` for parts of it."),
    key!("standin", seed: Count<u64>, "Seed of service times."),
    key!("capacity", capacity.slots: Count<u32>, "Places for running tasks."),
    key!("capacity", capacity.connections: Count<u32>, "Open connections."),
    key!("capacity", capacity.millicores: Count<u32>, "Thousandths of a processor."),
    key!("capacity", capacity.memory_mib: Count<u32>, "Memory in mebibytes."),
    key!("capacity", capacity.accelerators: Count<u32>, "Whole accelerators."),
    key!("limits", limits.head_bytes: Size<usize>, "Largest head of a message.", 1024..=1024 * 1024),
    key!("limits", limits.body_bytes: Size<u64>, "Largest body of a message.", 0..=1 << 30),
    key!("limits", limits.idle: Span, "Longest wait for the next request on an idle connection.", ms(100)..=s(3600)),
    key!("limits", limits.head: Span, "Longest time from the first byte of a head to its last.", ms(100)..=s(60)),
    key!("limits", limits.stall: Span, "Longest pause within a body.", ms(100)..=s(600)),
    key!("limits", limits.connections: Count<usize>, "Most connections at a time.", 1..=1_000_000),
];

impl Settings {
    /// The keys as a table.
    pub const TABLE: Table<Self> = Table { keys: KEYS };

    /// Reads the settings file at `path`; keys that it leaves out keep their defaults.
    ///
    /// # Errors
    ///
    /// Names the file, the line and the remedy.
    pub fn load(path: &Path) -> ini::Result<Self> {
        Self::read(&Document::load(path)?)
    }

    /// Reads settings from `text`; `file` is the name that messages carry.
    ///
    /// # Errors
    ///
    /// Names the file, the line and the remedy.
    pub fn parse(file: &str, text: &str) -> ini::Result<Self> {
        Self::read(&Document::parse(file, text)?)
    }

    fn read(document: &Document) -> ini::Result<Self> {
        let mut settings = Self::default();
        Self::TABLE.read(document, &mut settings)?;
        Ok(settings)
    }
}
