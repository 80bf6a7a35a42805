//! The operators' requests to evacuate failure domains.

use serde_json::Value;
use shallotflow_core::name::Name;
use std::collections::BTreeMap;

/// Why a request to evacuate a failure domain is not applied as written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key names no failure domain.
    #[error("the key names no failure domain; write it as the prefix and the domain")]
    NoDomain,
    /// The value is not a JSON object.
    #[error("the value is not a JSON object; write {{}} or delete the key")]
    NotAnObject,
    /// The value has fields, which have no meaning; the request is in effect.
    #[error("the fields {0} have no meaning and are ignored; write {{}}")]
    UnknownFields(String),
}

/// The result of reading a request.
pub type Result<T> = std::result::Result<T, Error>;

/// The operators' requests to evacuate failure domains, as the store holds them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationRequests {
    domains: BTreeMap<Name, i64>,
    /// Revisions of the values for which an error was returned, by domain.
    rejected: BTreeMap<Name, i64>,
}

impl EvacuationRequests {
    /// Returns the requested domains, with the revision of each request.
    pub fn domains(&self) -> &BTreeMap<Name, i64> {
        &self.domains
    }

    /// Applies a request that was written for `domain` at `revision`.
    ///
    /// # Errors
    ///
    /// After [`Error::UnknownFields`] the request is in effect. After other errors, an earlier
    /// request for the domain remains in effect. A value that is read again causes no second error.
    pub fn put(&mut self, domain: &str, value: &[u8], revision: i64) -> Result<()> {
        let result = self.read(domain, value, revision);
        if result.is_ok() {
            self.rejected.remove(domain);
        } else if self.rejected.insert(domain.into(), revision) == Some(revision) {
            return Ok(());
        }
        result
    }

    fn read(&mut self, domain: &str, value: &[u8], revision: i64) -> Result<()> {
        if domain.is_empty() {
            return Err(Error::NoDomain);
        }
        let Ok(Value::Object(fields)) = serde_json::from_slice(value) else {
            return Err(Error::NotAnObject);
        };
        self.domains.insert(domain.into(), revision);
        if fields.is_empty() {
            return Ok(());
        }
        let names: Vec<String> = fields.into_iter().map(|(name, _)| name).collect();
        Err(Error::UnknownFields(names.join(", ")))
    }

    /// Withdraws the request for `domain`.
    pub fn withdraw(&mut self, domain: &str) {
        self.domains.remove(domain);
        self.rejected.remove(domain);
    }

    /// Withdraws the requests for all domains but those in `present`, which the store holds.
    pub fn retain(&mut self, present: &[&str]) {
        self.domains.retain(|domain, _| present.contains(&&**domain));
        self.rejected.retain(|domain, _| present.contains(&&**domain));
    }

    /// Returns the domains of all requests that were read, also of those that were rejected.
    pub fn known(&self) -> impl Iterator<Item = &Name> {
        self.domains.keys().chain(self.rejected.keys())
    }
}
