//! The platform's key-value store: a trait and a client.
//!
//! - [`store`]: the trait that the rest of the system works with.
//! - [`pair`]: a stored key with its value and revisions.
//! - [`transaction`]: comparisons and writes that are applied together or not at all.
//! - [`watch`]: changes under a prefix, in order and without gaps.
//! - [`error`]: what is known of a call that gave no result.
//! - [`client`]: the trait over the gRPC interface of etcd v3.
//! - [`proto`]: the messages of that interface.

pub mod client;
pub mod error;
pub mod pair;
pub mod store;
pub mod transaction;
pub mod watch;

/// Generated messages and services of the store's interface.
#[allow(missing_docs, clippy::all, unreachable_pub)]
pub mod proto {
    /// Calls.
    pub mod etcdserverpb {
        include!("generated/etcdserverpb.rs");
    }
    /// Stored pairs and changes.
    pub mod mvccpb {
        include!("generated/mvccpb.rs");
    }
}
