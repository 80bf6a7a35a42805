//! Settings of the client.

use std::net::SocketAddr;
use std::time::Duration;

/// How the client calls the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The endpoints, tried in turn.
    pub endpoints: Vec<SocketAddr>,
    /// How long one endpoint may take to answer a call.
    pub call_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { endpoints: Vec::new(), call_timeout: Duration::from_secs(1) }
    }
}
