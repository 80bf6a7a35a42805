//! `shallotflow jobs`.

use super::job;
use crate::connect::{Peers, peers};
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use serde_json::json;
use shallotflow_core::job::{Record, State};
use shallotflow_wire::proto;

const DEFAULT_LIMIT: u32 = 100;

/// Arguments of `jobs`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(peers))]
    peers: Peers,
    /// Only jobs in this state: queued, started, done, failed, cancelled, unknown or parked
    #[bpaf(argument::<String>("STATE"), parse(state), fallback(String::new()))]
    state: String,
    /// Maximum number of jobs to list from each entry; 100 if not given
    #[bpaf(argument("COUNT"), fallback(DEFAULT_LIMIT))]
    limit: u32,
}

fn state(name: String) -> std::result::Result<String, String> {
    let known = State::NAMES.contains(&name.as_str());
    let invalid = || format!("`{name}` is not a job state; use one of {}", State::NAMES.join(", "));
    known.then(|| name.clone()).ok_or_else(invalid)
}

/// Lists the jobs of the ledgers that the given entries own.
///
/// # Errors
///
/// Fails if an entry does not respond.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let request = proto::ListRequest { state: arguments.state, limit: arguments.limit };
    let responses = arguments
        .peers
        .call_each(async |mut client| client.list_jobs(request.clone()).await)
        .await?;
    let mut records: Vec<Record> = Vec::new();
    for text in responses.iter().flat_map(|response| &response.records) {
        let record = serde_json::from_str(text)
            .map_err(|error| Error::System(format!("cannot parse a job record: {error}")))?;
        records.push(record);
    }
    records.sort_by(|a, b| (a.submitted_unix_ms, &a.id).cmp(&(b.submitted_unix_ms, &b.id)));
    records.dedup_by(|a, b| a.id == b.id);
    let rows = records.iter().map(job::row).collect();
    Ok(Output::table(&job::COLUMNS, rows, "no jobs", json!(records)))
}
