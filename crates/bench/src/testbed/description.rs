//! The description of a testbed.

use super::{Disturbance, Kind, Result, Site, Surge, reader};
use serde::{Deserialize, Serialize};
use shallotflow_core::class::Class;
use shallotflow_core::ini::Document;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::settings::standin;
use std::path::Path;

const GUILD: &str = include_str!("../../floors/guild.ini");
const MERKJAGERD: &str = include_str!("../../floors/merkjagerd.ini");

/// Workers, kinds of work and the load over time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Testbed {
    /// The processes and their failure domains.
    pub site: Site,
    /// The capacity of each worker.
    pub capacity: Bundle,
    /// The surge of the quick load.
    pub surge: Surge,
    /// The kinds of work.
    pub kinds: Vec<Kind>,
    /// How kinds slow each other down.
    pub disturbances: Vec<Disturbance>,
}

impl Default for Testbed {
    fn default() -> Self {
        Self {
            site: Site::default(),
            capacity: standin::Settings::default().capacity,
            surge: Surge::default(),
            kinds: Vec::new(),
            disturbances: Vec::new(),
        }
    }
}

impl Testbed {
    /// The names of the embedded testbeds.
    pub const EMBEDDED: [&str; 2] = ["guild", "merkjagerd"];

    /// Loads the embedded testbed of this name, or the file at this path.
    ///
    /// # Errors
    ///
    /// Fails on an invalid description; the error names the file, the line and the remedy.
    pub fn load(name: &str) -> Result<Self> {
        match name {
            "guild" => Self::parse("guild", GUILD),
            "merkjagerd" => Self::parse("merkjagerd", MERKJAGERD),
            path => reader::read(&Document::load(Path::new(path))?),
        }
    }

    /// Parses a testbed from `text`; error messages use `file` as its name.
    ///
    /// # Errors
    ///
    /// Fails on an invalid description; the error names the file, the line and the remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        reader::read(&Document::parse(file, text)?)
    }

    /// Returns the kinds of one class.
    pub fn kinds_of(&self, class: Class) -> impl Iterator<Item = &Kind> {
        self.kinds.iter().filter(move |kind| kind.class == class)
    }

    /// Returns the kind of this name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| &*kind.name == name)
    }

    /// Returns the names of all kinds.
    pub fn kind_names(&self) -> Vec<Name> {
        self.kinds.iter().map(|kind| kind.name.clone()).collect()
    }

    /// Returns the failure domain of the worker or entry with this index.
    pub fn domain_of(&self, worker: usize) -> Name {
        self.site.domains[worker % self.site.domains.len()].clone()
    }
}
