//! Socket addresses.

use super::Codec;
use std::net::SocketAddr;

/// A socket address of the form ip:port.
#[derive(Debug)]
pub struct Address;

impl Codec for Address {
    type Value = SocketAddr;
    const EXPECTED: &'static str = "an address of the form ip:port, such as `127.0.0.1:7000`";

    fn parse(text: &str) -> Option<SocketAddr> {
        text.parse().ok()
    }

    fn print(value: &SocketAddr) -> String {
        value.to_string()
    }
}
