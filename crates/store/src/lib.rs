//! The key-value store of the platform: a trait and a client.
//!
//! - [`store`]: the trait that the other crates use.
//! - [`pair`]: a stored key with its value and revisions.
//! - [`transaction`]: comparisons and writes that are applied atomically.
//! - [`watch`]: changes under a prefix, in order and without gaps.
//! - [`error`]: errors of store calls.
//! - [`client`]: an implementation over the gRPC interface of etcd v3.
//! - [`proto`]: the messages of that interface.

pub mod client;
pub mod error;
pub mod pair;
pub mod store;
pub mod transaction;
pub mod watch;

/// Generated messages and clients of the etcd v3 interface.
#[allow(missing_docs, clippy::all, unreachable_pub)]
pub mod proto {
    /// Requests and responses.
    pub mod etcdserverpb {
        include!("generated/etcdserverpb.rs");
    }
    /// Key-value pairs and events.
    pub mod mvccpb {
        include!("generated/mvccpb.rs");
    }
}
