//! Settings of the client.

use std::net::SocketAddr;
use std::time::Duration;

/// The settings of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The endpoints, which are tried in turn.
    pub endpoints: Vec<SocketAddr>,
    /// Timeout of a call to one endpoint.
    pub call_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { endpoints: Vec::new(), call_timeout: Duration::from_secs(1) }
    }
}
