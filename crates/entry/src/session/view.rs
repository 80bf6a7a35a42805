//! The live entries and the owners of ledgers, as last seen.

use super::{Owner, Presence, keys};
use shallotflow_core::list::Whole;
use shallotflow_core::name::Name;
use shallotflow_store::pair::Pair;
use shallotflow_store::watch::{Change, Update};
use std::collections::BTreeMap;

/// Entries and owners as of one store revision.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) entries: BTreeMap<Name, Presence>,
    pub(super) owners: BTreeMap<u32, Owner>,
    /// The store revision of this view; 0 before the first read.
    pub(super) revision: i64,
}

impl View {
    /// Reads all entries and owners; whoever is missing is gone.
    pub(super) fn read(pairs: &Whole<Pair>, revision: i64) -> Self {
        let mut view = Self { revision, ..Self::default() };
        for pair in pairs.iter() {
            view.put(pair);
        }
        view
    }

    pub(super) fn apply(&mut self, update: Update) {
        for change in update.changes {
            match change {
                Change::Put(pair) => self.put(&pair),
                Change::Delete { key, .. } => self.delete(&key),
            }
        }
        self.revision = update.revision;
    }

    fn put(&mut self, pair: &Pair) {
        if let Some(name) = keys::parse_entry(&pair.key) {
            // An entry of another version may write a value in an unknown format; it is ignored.
            if let Ok(presence) = serde_json::from_slice(&pair.value) {
                self.entries.insert(name.into(), presence);
            }
        }
        if let Some(ledger) = keys::parse_owner(&pair.key) {
            let name = String::from_utf8_lossy(&pair.value).as_ref().into();
            let epoch = u64::try_from(pair.create_revision).unwrap_or_default();
            self.owners.insert(ledger, Owner { name, epoch, lease: pair.lease });
        }
    }

    fn delete(&mut self, key: &str) {
        if let Some(name) = keys::parse_entry(key) {
            self.entries.remove(name);
        }
        if let Some(ledger) = keys::parse_owner(key) {
            self.owners.remove(&ledger);
        }
    }
}
