//! Watches the configuration in the store.

use super::Keeper;
use shallotflow_core::fleet::key;
use shallotflow_store::error::Result;
use shallotflow_store::pair::Pair;
use shallotflow_store::store::Store;
use shallotflow_store::watch::Change;
use std::rc::Rc;
use std::time::Duration;

const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Reads and watches the configuration until the future is dropped. After an error it backs off and
/// reads the configuration again.
pub async fn follow(keeper: Rc<Keeper>, store: Rc<dyn Store>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let before = keeper.revision();
        if let Err(error) = read_and_watch(&keeper, &*store).await {
            spdlog::warn!("configuration cannot be followed", kv: { error: });
        }
        let progressed = keeper.revision() > before;
        backoff = if progressed { MIN_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
        monoio::time::sleep(backoff).await;
    }
}

async fn read_and_watch(keeper: &Keeper, store: &dyn Store) -> Result<()> {
    let snapshot = store.range(key::PREFIX).await?;
    let revision = snapshot.revision;
    for pair in snapshot.pairs.rows() {
        offer_pair(keeper, pair);
    }
    // Only a whole list shows that there is no configuration.
    snapshot.whole()?;
    keeper.set_read();
    let mut watch = store.watch(key::PREFIX, revision + 1).await?;
    loop {
        let update = watch.next().await?;
        for change in update.changes {
            match change {
                Change::Put(pair) => offer_pair(keeper, &pair),
                Change::Delete { key, .. } => {
                    spdlog::warn!("configuration deleted; the last one stays in force", kv: { key });
                }
            }
        }
    }
}

fn offer_pair(keeper: &Keeper, pair: &Pair) {
    if pair.key != key::TEXT {
        return;
    }
    let revision = u64::try_from(pair.mod_revision).unwrap_or_default();
    keeper.offer(revision, &String::from_utf8_lossy(&pair.value));
}
