//! Exclusive binding of the addresses that a process listens on.

use monoio::net::{ListenerOpts, TcpListener};
use std::net::SocketAddr;

/// The result of binding an address.
pub type Result<T> = std::io::Result<T>;

/// Binds `address` exclusively for this process; port 0 selects a free port.
///
/// By default, the runtime sets `SO_REUSEPORT`: several processes can share a port, and the system
/// distributes connections over them. A second process with the same settings would go unnoticed.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this host.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}
