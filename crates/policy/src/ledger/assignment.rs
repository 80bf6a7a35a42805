//! Assignment of ledgers to entries: an even share for each live entry.

use shallotflow_core::name::Name;
use std::collections::BTreeMap;

/// The ledgers that an entry should claim and release.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Ledgers without an owner that the entry should claim, in the order to try them.
    pub claims: Vec<u32>,
    /// Owned ledgers that the entry should release to other entries.
    pub releases: Vec<u32>,
}

/// Computes the plan of the entry `me` from the live `entries` and the current `owners` of the
/// `ledgers` ledgers.
///
/// Each entry claims up to its share, rounded up, and releases ledgers beyond it. Entries start
/// claiming at different ledgers, so that two of them seldom try the same one.
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

/// Returns the ledgers beyond the share, but only while another entry has fewer than its share.
fn releases(
    names: &[&Name],
    owners: &BTreeMap<u32, Name>,
    owned_here: &[u32],
    share: usize,
) -> Vec<u32> {
    let another_below_share = names.iter().any(|name| owned(name, owners).len() + 1 < share.max(2));
    let surplus = if another_below_share { owned_here.len().saturating_sub(share) } else { 0 };
    owned_here.iter().rev().take(surplus).copied().collect()
}
