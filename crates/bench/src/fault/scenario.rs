//! The faults by name.

use rand::Rng;
use rand::rngs::SmallRng;
use std::fmt;
use std::str::FromStr;

/// A fault of a process, the store or the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// A worker and its agent are killed together and replaced.
    WorkerKill,
    /// An agent is killed and replaced; its worker keeps running.
    AgentKill,
    /// An entry is killed and replaced at a new address.
    EntryKill,
    /// An entry freezes for longer than its leases last.
    EntryPause,
    /// An agent freezes for longer than its tasks' leases last.
    AgentPause,
    /// The store refuses every call.
    StoreDown,
    /// The store answers every call slowly.
    StoreSlow,
    /// The store applies writes but loses some of the replies.
    StoreLostAnswers,
    /// Every lease at the store expires, at the begin and at the end of the fault.
    LeaseLapse,
    /// Batch jobs arrive in a wave.
    NoisyWave,
    /// A worker fails every task that it starts.
    BadWorker,
    /// Most jobs are cancelled at the same time.
    CancelWave,
    /// Jobs declare sizes and run times that are ten times too small or too large.
    WrongSizes,
    /// Many jobs run many times longer than the rest.
    Stragglers,
    /// Some jobs need more memory than any worker has.
    ImpossibleJobs,
    /// Operators change the configuration concurrently.
    ConfigRace,
    /// Every agent, worker and entry is stopped gracefully and replaced, one at a time.
    DrainAll,
    /// The agents and entries of one failure domain are unreachable.
    DomainCut,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 18] = [
        Self::WorkerKill,
        Self::AgentKill,
        Self::EntryKill,
        Self::EntryPause,
        Self::AgentPause,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreLostAnswers,
        Self::LeaseLapse,
        Self::NoisyWave,
        Self::BadWorker,
        Self::CancelWave,
        Self::WrongSizes,
        Self::Stragglers,
        Self::ImpossibleJobs,
        Self::ConfigRace,
        Self::DrainAll,
        Self::DomainCut,
    ];

    /// The name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WorkerKill => "worker-kill",
            Self::AgentKill => "agent-kill",
            Self::EntryKill => "entry-kill",
            Self::EntryPause => "entry-pause",
            Self::AgentPause => "agent-pause",
            Self::StoreDown => "store-down",
            Self::StoreSlow => "store-slow",
            Self::StoreLostAnswers => "store-lost-answers",
            Self::LeaseLapse => "lease-lapse",
            Self::NoisyWave => "noisy-wave",
            Self::BadWorker => "bad-worker",
            Self::CancelWave => "cancel-wave",
            Self::WrongSizes => "wrong-sizes",
            Self::Stragglers => "stragglers",
            Self::ImpossibleJobs => "impossible-jobs",
            Self::ConfigRace => "config-race",
            Self::DrainAll => "drain-all",
            Self::DomainCut => "domain-cut",
        }
    }

    /// Returns two different scenarios, chosen at random.
    pub fn pair(rng: &mut SmallRng) -> [Self; 2] {
        let first = rng.random_range(0..Self::ALL.len());
        let second = (first + rng.random_range(1..Self::ALL.len())) % Self::ALL.len();
        [Self::ALL[first], Self::ALL[second]]
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|scenario| scenario.as_str() == text);
        found.ok_or_else(|| {
            let known: Vec<_> = Self::ALL.iter().map(|scenario| scenario.as_str()).collect();
            format!("fault {text:?} is unknown; use one of {}", known.join(", "))
        })
    }
}

/// A comma-separated list of scenarios.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scenarios(pub Vec<Scenario>);

impl FromStr for Scenarios {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.split(',').map(|name| name.trim().parse()).collect::<Result<_, _>>().map(Self)
    }
}
