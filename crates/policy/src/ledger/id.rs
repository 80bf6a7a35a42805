//! Job identifiers: the ledger number and a digest of the caller and its idempotency key.

use sha2::{Digest, Sha256};
use shallotflow_core::name::Name;
use std::fmt::Write;

/// Number of digest bytes in an identifier.
const DIGEST_BYTES: usize = 16;

/// Returns the identifier of the job that `caller` submits with the idempotency key `key`.
///
/// Every entry derives the same identifier from the same arguments. `ledgers` is at least one.
pub fn derive(caller: &str, key: &str, ledgers: u32) -> Name {
    let mut digest = Sha256::new();
    digest.update((caller.len() as u64).to_be_bytes());
    digest.update(caller);
    digest.update(key);
    let digest = digest.finalize();
    let [a, b, c, d] = [digest[28], digest[29], digest[30], digest[31]];
    let ledger = u32::from_be_bytes([a, b, c, d]) % ledgers.max(1);
    let mut id = format!("{ledger}-");
    for byte in &digest[..DIGEST_BYTES] {
        // Writing to a string cannot fail.
        let _ = write!(id, "{byte:02x}");
    }
    id.into()
}

/// Returns the ledger of the job `id`, or `None` if `id` is malformed.
pub fn ledger(id: &str) -> Option<u32> {
    let (ledger, digest) = id.split_once('-')?;
    let valid =
        digest.len() == 2 * DIGEST_BYTES && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
    valid.then(|| ledger.parse().ok())?
}
