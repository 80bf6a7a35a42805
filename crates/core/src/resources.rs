//! What a task needs and what a worker can hold.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Amounts of each resource, as a need or as a capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bundle {
    /// Places for running tasks.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Thousandths of a processor.
    pub millicores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Bundle {
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

    /// Whether nothing is asked for in any dimension.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
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

/// Why a text is no bundle.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// A part without `=`.
    #[error("resource {0:?} has no value; write name=amount")]
    NoValue(String),
    /// A name that is no resource.
    #[error(
        "resource {0:?} does not exist; use slots, connections, millicores, memory_mib or \
         accelerators"
    )]
    UnknownName(String),
    /// An amount that is no number.
    #[error("resource {name} has amount {amount:?}; give a whole number up to 4294967295")]
    BadAmount {
        /// The resource.
        name: String,
        /// What was given.
        amount: String,
    },
}

/// The result of reading a bundle.
pub type Result<T> = std::result::Result<T, ParseError>;

impl Bundle {
    /// The header that carries a bundle between processes, in the form of its text.
    pub const HEADER: &'static str = "shallotflow-resources";

    fn field(&mut self, name: &str) -> Option<&mut u32> {
        match name {
            "slots" => Some(&mut self.slots),
            "connections" => Some(&mut self.connections),
            "millicores" => Some(&mut self.millicores),
            "memory_mib" => Some(&mut self.memory_mib),
            "accelerators" => Some(&mut self.accelerators),
            _ => None,
        }
    }
}

impl fmt::Display for Bundle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "slots={},connections={},millicores={},memory_mib={},accelerators={}",
            self.slots, self.connections, self.millicores, self.memory_mib, self.accelerators
        )
    }
}

impl FromStr for Bundle {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        let mut bundle = Self::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let Some((name, amount)) = part.split_once('=') else {
                return Err(ParseError::NoValue(part.to_owned()));
            };
            let (name, amount) = (name.trim(), amount.trim());
            let Some(field) = bundle.field(name) else {
                return Err(ParseError::UnknownName(name.to_owned()));
            };
            let bad = |_| ParseError::BadAmount { name: name.into(), amount: amount.into() };
            *field = amount.parse().map_err(bad)?;
        }
        Ok(bundle)
    }
}
