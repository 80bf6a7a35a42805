//! Binds the addresses that a process listens on.

use monoio::net::{ListenerOpts, TcpListener};
use std::net::SocketAddr;

/// The result of binding an address.
pub type Result<T> = std::io::Result<T>;

/// Binds `address` for this process alone; port 0 takes a free one.
///
/// The runtime's own defaults let several processes share a port, and the system then spreads
/// connections over them. A second process with the same settings would go unnoticed.
///
/// # Errors
///
/// Fails when the address is taken or not one of this host.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}
