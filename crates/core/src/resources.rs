//! Resource requests of tasks and capacities of workers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The reason why a text is not a valid bundle.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A part has no equals sign.
    #[error("{0:?} is not of the form name=amount; write slots=1 for instance")]
    NotAPair(String),
    /// A part names an unknown resource.
    #[error(
        "{0:?} is not a resource; use slots, connections, millicores, memory_mib or accelerators"
    )]
    UnknownResource(String),
    /// An amount is not an integer from 0 to 2^32 - 1.
    #[error("amount {amount:?} of {resource} is not a whole number below 2^32; correct it")]
    BadAmount {
        /// The resource.
        resource: String,
        /// The amount as written.
        amount: String,
    },
    /// A resource is listed more than once.
    #[error("{0:?} is listed more than once; list each resource once")]
    Repeated(String),
}

/// The result of parsing a bundle.
pub type Result<T> = std::result::Result<T, Error>;

/// An amount of each resource, as a request or as a capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bundle {
    /// Number of slots for running tasks.
    pub slots: u32,
    /// Number of open connections.
    pub connections: u32,
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Number of whole accelerators.
    pub accelerators: u32,
}

impl Bundle {
    /// The HTTP header that carries a bundle between processes, in its text form.
    pub const HEADER: &'static str = "shallotflow-resources";

    /// Whether `need` fits in `self` in every dimension.
    pub fn holds(&self, need: &Self) -> bool {
        self.slots >= need.slots
            && self.connections >= need.connections
            && self.millicores >= need.millicores
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
    }

    /// The sum in each dimension; saturates at the largest value.
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// The difference in each dimension; saturates at zero.
    pub fn minus(&self, other: &Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// The larger value in each dimension.
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, Ord::max)
    }

    /// Whether every amount is zero.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    fn field(&mut self, resource: &str) -> Option<&mut u32> {
        match resource {
            "slots" => Some(&mut self.slots),
            "connections" => Some(&mut self.connections),
            "millicores" => Some(&mut self.millicores),
            "memory_mib" => Some(&mut self.memory_mib),
            "accelerators" => Some(&mut self.accelerators),
            _ => None,
        }
    }

    fn zip(&self, other: &Self, op: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            slots: op(self.slots, other.slots),
            connections: op(self.connections, other.connections),
            millicores: op(self.millicores, other.millicores),
            memory_mib: op(self.memory_mib, other.memory_mib),
            accelerators: op(self.accelerators, other.accelerators),
        }
    }
}

impl FromStr for Bundle {
    type Err = Error;

    /// Parses a text such as `slots=1,memory_mib=64`; resources that are not listed are zero.
    fn from_str(text: &str) -> Result<Self> {
        let mut bundle = Self::default();
        let mut seen = Vec::new();
        for part in text.split(',') {
            let (resource, amount) =
                part.trim().split_once('=').ok_or_else(|| Error::NotAPair(part.to_owned()))?;
            let unknown = || Error::UnknownResource(resource.to_owned());
            let field = bundle.field(resource).ok_or_else(unknown)?;
            *field = amount.parse().map_err(|_| Error::BadAmount {
                resource: resource.to_owned(),
                amount: amount.to_owned(),
            })?;
            if seen.contains(&resource) {
                return Err(Error::Repeated(resource.to_owned()));
            }
            seen.push(resource);
        }
        Ok(bundle)
    }
}

impl fmt::Display for Bundle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { slots, connections, millicores, memory_mib, accelerators } = self;
        write!(f, "slots={slots},connections={connections},millicores={millicores},")?;
        write!(f, "memory_mib={memory_mib},accelerators={accelerators}")
    }
}
