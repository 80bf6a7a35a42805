use crate::name::Name;
use std::time::Duration;

/// A known worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Worker {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The kinds of work that it serves.
    pub kinds: Vec<Name>,
    /// Its number of slots.
    pub slots: u32,
}

/// What is known of the workers and entries that a configuration is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// The known workers; if there are none, nothing that depends on them is found.
    pub workers: Vec<Worker>,
    /// The deadline to which entries limit requests and watches.
    pub longest_deadline: Duration,
}

impl Default for Fleet {
    fn default() -> Self {
        let longest_deadline = crate::settings::entry::Settings::default().longest_deadline;
        Self { workers: Vec::new(), longest_deadline }
    }
}
