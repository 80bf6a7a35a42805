//! One kind of work.

use super::Surge;
use serde::{Deserialize, Serialize};
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use std::time::Duration;

/// A kind of work with its arrivals, service times and declared needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// The name of the kind.
    pub name: Name,
    /// Its class.
    pub class: Class,
    /// Mean arrivals per second outside of the surge.
    pub rate: u32,
    /// Median service time on an otherwise idle worker.
    pub median: Duration,
    /// Standard deviation of the logarithm of the service time, thousandths.
    pub spread: u32,
    /// Share of stragglers, thousandths.
    pub straggler_share: u32,
    /// How many times longer a straggler runs.
    pub straggler_factor: u32,
    /// The deadline of a request.
    pub deadline: Duration,
    /// The run time that a job declares.
    pub declared_run: Duration,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The size of a request's body.
    pub body_bytes: usize,
    /// The resources that one request or task needs.
    pub resources: Bundle,
    /// A wave of arrivals, for jobs.
    pub wave: Surge,
    /// How the declared needs of jobs differ from the actual ones.
    #[serde(rename = "misfit")]
    pub misdeclaration: Misdeclaration,
    /// Share of jobs that need more than any worker has, thousandths.
    pub impossible_share: u32,
    /// Share of jobs that are cancelled, thousandths.
    pub cancelled_share: u32,
}

/// How the declared needs of jobs differ from the actual ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Misdeclaration {
    /// Declared and actual needs are equal.
    #[default]
    None,
    /// Declared sizes and run times are a tenth or ten times the actual ones.
    WrongSizes,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            name: "kind".into(),
            class: Class::Quick,
            rate: 10,
            median: Duration::from_millis(10),
            spread: 300,
            straggler_share: 0,
            straggler_factor: 1,
            deadline: Duration::from_secs(2),
            declared_run: Duration::from_millis(500),
            idempotent: true,
            body_bytes: 128,
            resources: Bundle {
                slots: 1,
                connections: 1,
                millicores: 500,
                memory_mib: 64,
                accelerators: 0,
            },
            wave: Surge::default(),
            misdeclaration: Misdeclaration::None,
            impossible_share: 0,
            cancelled_share: 0,
        }
    }
}
