//! The platform's store.

use super::variable;
use bpaf::Bpaf;
use shallotflow_store::client::{Client, Settings};
use std::net::SocketAddr;

/// The endpoints of the store.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(store_address))]
pub struct StoreAddress {
    /// Endpoint of the store, ip:port; may be given several times
    #[bpaf(long("store"), argument("ADDRESS"), many, parse(or_variable))]
    pub endpoints: Vec<SocketAddr>,
}

impl StoreAddress {
    /// A client of the store.
    pub fn client(&self) -> Client {
        let endpoints = self.endpoints.clone();
        Client::new(Settings { endpoints, ..Settings::default() })
    }
}

fn or_variable(given: Vec<SocketAddr>) -> Result<Vec<SocketAddr>, String> {
    variable::addresses(given, "--store", "SHALLOTFLOW_STORE")
}
