//! Client of the platform's store.

use super::env;
use bpaf::{Bpaf, Parser, long};
use shallotflow_store::client::{Client, Settings};
use std::net::SocketAddr;

/// The endpoints of the store.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(endpoints))]
pub struct Endpoints {
    /// Endpoint of the store, ip:port; may be given several times
    #[bpaf(long("store"), argument("ADDRESS"), many, parse(or_env))]
    pub addresses: Vec<SocketAddr>,
}

impl Endpoints {
    /// Creates a client of the store.
    pub fn client(&self) -> Client {
        let endpoints = self.addresses.clone();
        Client::new(Settings { endpoints, ..Settings::default() })
    }
}

/// Parses the same endpoints, none of which needs to be given.
pub fn optional_endpoints() -> impl Parser<Endpoints> {
    long("store")
        .help("Endpoint of the store, ip:port, for --current; may be given several times")
        .argument::<SocketAddr>("ADDRESS")
        .many()
        .parse(|given| env::optional_addresses(given, "SHALLOTFLOW_STORE"))
        .map(|addresses| Endpoints { addresses })
}

fn or_env(given: Vec<SocketAddr>) -> Result<Vec<SocketAddr>, String> {
    env::addresses(given, "--store", "SHALLOTFLOW_STORE")
}
