//! `shallotflow check FILE`.

use super::show::unix_now_s;
use crate::change::Session;
use crate::connect::{Endpoints, Peers, optional_endpoints, optional_peers};
use crate::error::{EXIT_FINDINGS, Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use serde_json::json;
use shallotflow_core::fleet::review::{Change, Difference, Finding, Fleet, Worker};
use shallotflow_core::fleet::{self, Config};
use shallotflow_core::name::Name;
use shallotflow_core::settings::{agent, entry, standin};
use shallotflow_wire::proto;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::str::FromStr;

/// The kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The fleet configuration.
    Fleet,
    /// Settings of an entry.
    Entry,
    /// Settings of an agent.
    Agent,
    /// Settings of a stand-in.
    Standin,
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "fleet" => Ok(Self::Fleet),
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            "standin" => Ok(Self::Standin),
            other => {
                Err(format!("`{other}` is not a kind of file; use fleet, entry, agent or standin"))
            }
        }
    }
}

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(optional_endpoints))]
    store: Endpoints,
    #[bpaf(external(optional_peers))]
    peers: Peers,
    /// Kind of file: fleet, entry, agent or standin
    #[bpaf(argument("KIND"), fallback(Kind::Fleet))]
    kind: Kind,
    /// Fleet configuration file to compare with
    #[bpaf(argument("FILE"))]
    against: Option<PathBuf>,
    /// Compare with the fleet configuration in force
    current: bool,
    /// Settings file of an entry, whose longest deadline bounds that of the fleet configuration
    #[bpaf(argument("FILE"))]
    entry_settings: Option<PathBuf>,
    /// File to check
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Checks a configuration or settings file.
///
/// # Errors
///
/// The error names the file, the line and the remedy. Fails as well if the configuration to compare
/// with cannot be read.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let file = &arguments.file;
    match arguments.kind {
        Kind::Fleet => return review(&arguments).await,
        Kind::Entry => drop(entry::Settings::load(file)?),
        Kind::Agent => drop(agent::Settings::load(file)?),
        Kind::Standin => drop(standin::Settings::load(file)?),
    }
    if arguments.current || arguments.against.is_some() {
        let message = "only fleet configurations are compared; leave out --against and --current";
        return Err(Error::Argument(message.to_owned()));
    }
    let file = file.display().to_string();
    Ok(Output::line(format!("{file}: valid"), json!({ "file": file, "valid": true })))
}

async fn review(arguments: &Arguments) -> Result<Output> {
    let config = Config::load(&arguments.file)?;
    let differences = base(arguments).await?.map(|base| fleet::review::differences(&base, &config));
    let (workers, unverified) = match known_workers(&arguments.peers).await {
        Ok(workers) => (workers, None),
        Err(cause) => (Vec::new(), Some(cause)),
    };
    let mut fleet = Fleet { workers, ..Fleet::default() };
    if let Some(path) = &arguments.entry_settings {
        fleet.longest_deadline = entry::Settings::load(path)?.longest_deadline;
    }
    let findings = fleet::review::review(&config, &fleet, unix_now_s());
    let file = arguments.file.display().to_string();
    let mut text = format!("{file}: valid, with {} exceptions\n", config.exceptions.len());
    if let Some(cause) = &unverified {
        text.push_str(&format!("not compared with the known workers: {cause}\n"));
    }
    for Finding { section, detail, remedy, .. } in &findings {
        text.push_str(&format!("{section}: {detail}; {remedy}\n"));
    }
    if let Some(differences) = &differences {
        text.push_str(&print(differences));
    }
    let json = json!({
        "file": file,
        "valid": true,
        "findings": findings,
        "differences": differences,
        "unverified": unverified,
    });
    let exit_code = if findings.is_empty() { 0 } else { EXIT_FINDINGS };
    Ok(Output { text, json, exit_code })
}

/// The configuration to compare with, if one is requested.
async fn base(arguments: &Arguments) -> Result<Option<Config>> {
    if arguments.current && arguments.against.is_some() {
        let message = "--against and --current exclude each other; give one of them";
        return Err(Error::Argument(message.to_owned()));
    }
    if let Some(path) = &arguments.against {
        return Ok(Some(Config::load(path)?));
    }
    if !arguments.current {
        return Ok(None);
    }
    if arguments.store.addresses.is_empty() {
        let message = "--current needs the store; use --store ADDRESS or set SHALLOTFLOW_STORE";
        return Err(Error::Argument(message.to_owned()));
    }
    let client = arguments.store.client();
    Ok(Some(Session::new(&client).read().await?.config()?))
}

/// The workers that the entries know, or why they are not known.
async fn known_workers(peers: &Peers) -> std::result::Result<Vec<Worker>, String> {
    if peers.addresses.is_empty() {
        return Err("no entry is given with --peers or SHALLOTFLOW_PEERS".to_owned());
    }
    let request = proto::TargetsRequest::default();
    let listed = peers.call_each(async |mut client| client.list_targets(request.clone()).await);
    let replies = listed.await.map_err(|error| error.to_string())?;
    let mut workers: BTreeMap<String, Worker> = BTreeMap::new();
    for target in replies.into_iter().flat_map(|reply| reply.targets) {
        let worker = Worker {
            name: target.worker.as_str().into(),
            domain: target.domain.into(),
            kinds: target.kinds.into_iter().map(Name::from).collect(),
            slots: target.capacity.unwrap_or_default().slots,
        };
        workers.insert(target.worker, worker);
    }
    if workers.is_empty() {
        return Err("the entries list no workers".to_owned());
    }
    Ok(workers.into_values().collect())
}

fn print(differences: &[Difference]) -> String {
    if differences.is_empty() {
        return "no differences\n".to_owned();
    }
    let mut text = String::new();
    for difference in differences {
        let change = match difference.change {
            Change::Added => "added",
            Change::Removed => "removed",
            Change::Changed => "changed",
        };
        text.push_str(&format!("{change} {}", difference.section));
        if let Some(author) = &difference.author {
            text.push_str(&format!(", author {author}"));
        }
        if let Some(reason) = &difference.reason {
            text.push_str(&format!(", reason: {reason}"));
        }
        text.push('\n');
        text.extend(difference.old.iter().map(|line| format!("  - {line}\n")));
        text.extend(difference.new.iter().map(|line| format!("  + {line}\n")));
    }
    text
}
