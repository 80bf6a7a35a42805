//! Which keys the store does not hold, beside lists that may lack rows.

use super::Entry;
use shallotflow_core::list::Received;
use shallotflow_store::error::Error;
use shallotflow_store::pair::Pair;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Pause before a list that was not whole is read again: what its unreadable rows hold is unknown until
/// then.
pub(super) const REREAD_PAUSE: Duration = Duration::from_secs(1);

/// Returns those of `keys` that the store does not hold. Where `listed` is not whole, the keys that it
/// lacks are read one by one.
pub(super) async fn absent(
    entry: &Rc<Entry>,
    listed: &Received<Pair>,
    keys: Vec<String>,
) -> Result<BTreeSet<String>, Error> {
    let present: BTreeSet<&str> = listed.rows().iter().map(|pair| pair.key.as_str()).collect();
    let mut absent = BTreeSet::new();
    for key in keys.into_iter().filter(|key| !present.contains(key.as_str())) {
        if listed.is_whole() || entry.store_call(entry.store.get(&key)).await?.is_none() {
            absent.insert(key);
        }
    }
    Ok(absent)
}
