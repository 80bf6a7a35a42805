//! The faults by name.

use rand::Rng;
use rand::rngs::SmallRng;
use std::fmt;
use std::str::FromStr;

/// A fault, or a load that is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// A worker and its agent die at once and are replaced.
    WorkerKill,
    /// An agent dies and is replaced beside the same worker.
    AgentKill,
    /// An entry dies and is replaced at a new address.
    EntryKill,
    /// An entry freezes for longer than its leases last.
    EntryPause,
    /// An agent freezes for longer than its tasks' leases last.
    AgentPause,
    /// The store refuses every call.
    StoreDown,
    /// The store takes long for every call.
    StoreSlow,
    /// The store applies writes whose answers are lost.
    StoreLostAnswers,
    /// Every lease at the store ends at once, again and again.
    LeaseLapse,
    /// Batch jobs come in a wave.
    NoisyWave,
    /// A worker fails every task that it starts.
    BadWorker,
    /// Most jobs of a time are cancelled at once.
    CancelWave,
    /// Declared sizes and run times are ten times too small or too large.
    WrongSizes,
    /// Many jobs run many times longer than the rest.
    Stragglers,
    /// Some jobs ask for more than any worker has.
    ImpossibleJobs,
    /// Operators change the configuration at the same moment.
    ConfigRace,
    /// Every process is stopped gracefully and replaced, one after the other.
    DrainAll,
    /// All processes of a failure domain cannot be reached.
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

    /// Two different scenarios, chosen at random.
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

/// Scenarios with commas between their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scenarios(pub Vec<Scenario>);

impl FromStr for Scenarios {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.split(',').map(|name| name.trim().parse()).collect::<Result<_, _>>().map(Self)
    }
}
