use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;

/// The evacuated failure domains.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    /// The revision of each domain's request, and since when this owner knows of it.
    domains: BTreeMap<Name, (i64, Time)>,
    /// Number of changes of the state of any worker, counted from 1.
    version: u64,
    /// Starts that were withdrawn or refused because of an evacuation, since they were last taken.
    refusals: u64,
}

impl Evacuations {
    /// Replaces the evacuated domains. Returns those that were added and those that were removed.
    pub(super) fn replace(
        &mut self,
        domains: BTreeMap<Name, i64>,
        now: Time,
    ) -> (Vec<Name>, Vec<Name>) {
        let added = domains.keys().filter(|domain| !self.domains.contains_key(*domain));
        let added: Vec<Name> = added.cloned().collect();
        let removed = self.domains.keys().filter(|domain| !domains.contains_key(*domain));
        let removed: Vec<Name> = removed.cloned().collect();
        let since = |domain: &Name| self.domains.get(domain).map_or(now, |(_, since)| *since);
        let domains = domains.into_iter().map(|(domain, revision)| {
            let since = since(&domain);
            (domain, (revision, since))
        });
        self.domains = domains.collect();
        (added, removed)
    }

    /// Returns whether `domain` is evacuated.
    pub(super) fn contains(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// Returns the revision of the request for `domain`.
    pub(super) fn revision(&self, domain: &str) -> i64 {
        self.domains.get(domain).map_or(0, |(revision, _)| *revision)
    }

    /// Returns the domains with the revision of each request, and since when it is known.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Name, i64, Time)> {
        self.domains.iter().map(|(domain, (revision, since))| (domain, *revision, *since))
    }

    /// Returns the number of changes of the state of any worker.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Records that a worker has become evacuated or may get tasks again.
    pub(super) fn count_change(&mut self) {
        self.version += 1;
    }

    /// Counts a start that was withdrawn or refused.
    pub(super) fn count_refusal(&mut self) {
        self.refusals += 1;
    }

    /// Returns the number of such starts since the last call.
    pub(super) fn take_refusals(&mut self) -> u64 {
        std::mem::take(&mut self.refusals)
    }
}
