//! `shallotflow check FILE`.

use crate::error::Result;
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use serde_json::json;
use shallotflow_core::fleet::Config;
use shallotflow_core::settings::{agent, entry, standin};
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
    /// Kind of file: fleet, entry, agent or standin
    #[bpaf(argument("KIND"), fallback(Kind::Fleet))]
    kind: Kind,
    /// File to check
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Checks a configuration or settings file.
///
/// # Errors
///
/// The error names the file, the line and the remedy.
pub(super) fn run(arguments: Arguments) -> Result<Output> {
    let file = &arguments.file;
    let summary = match arguments.kind {
        Kind::Fleet => {
            let config = Config::load(file)?;
            format!("valid, with {} exceptions", config.exceptions.len())
        }
        Kind::Entry => entry::Settings::load(file).map(|_| "valid".to_owned())?,
        Kind::Agent => agent::Settings::load(file).map(|_| "valid".to_owned())?,
        Kind::Standin => standin::Settings::load(file).map(|_| "valid".to_owned())?,
    };
    let file = file.display().to_string();
    Ok(Output::line(format!("{file}: {summary}"), json!({ "file": file, "valid": true })))
}
