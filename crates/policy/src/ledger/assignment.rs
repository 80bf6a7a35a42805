//! Which entry owns which ledger: an even share for each live entry.

use shallotflow_core::name::Name;
use std::collections::BTreeMap;

/// What an entry should do about the ownership of ledgers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Ledgers without an owner to claim, in the order in which to try them.
    pub claims: Vec<u32>,
    /// Owned ledgers to hand over.
    pub releases: Vec<u32>,
}

/// Plans for the entry `me`, given the live `entries` and the known `owners` of `ledgers` ledgers.
///
/// Each entry claims up to its share, rounded up, and releases what goes beyond it. Entries start
/// at different ledgers, so that they seldom claim the same one.
pub fn plan(me: &Name, entries: &[Name], owners: &BTreeMap<u32, Name>, ledgers: u32) -> Plan {
    let mut names: Vec<&Name> = entries.iter().chain([me]).collect();
    names.sort();
    names.dedup();
    let share = ledgers.div_ceil(names.len() as u32) as usize;
    let owned: Vec<u32> = owned(me, owners);
    let releases = releases(&names, owners, &owned, share);
    let position = names.iter().position(|name| *name == me).unwrap_or_default();
    let first = (position as u32).saturating_mul(share as u32);
    let claims = (0..ledgers)
        .map(|offset| (first + offset) % ledgers)
        .filter(|ledger| !owners.contains_key(ledger))
        .take(share.saturating_sub(owned.len()))
        .collect();
    Plan { claims, releases }
}

fn owned(name: &Name, owners: &BTreeMap<u32, Name>) -> Vec<u32> {
    owners.iter().filter(|(_, owner)| *owner == name).map(|(ledger, _)| *ledger).collect()
}

/// The surplus, but only while another entry can take it up.
fn releases(
    names: &[&Name],
    owners: &BTreeMap<u32, Name>,
    owned_here: &[u32],
    share: usize,
) -> Vec<u32> {
    let hungry = names.iter().any(|name| owned(name, owners).len() + 1 < share.max(2));
    let surplus = if hungry { owned_here.len().saturating_sub(share) } else { 0 };
    owned_here.iter().rev().take(surplus).copied().collect()
}
