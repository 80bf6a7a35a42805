//! `shallotflow apply FILE`.

use super::show;
use crate::change::{Applied, Current, Edit, Session, new_id};
use crate::connect::{Endpoints, endpoints};
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use serde_json::json;
use shallotflow_core::fleet::{Config, merge};
use shallotflow_core::ini;
use shallotflow_core::name::Name;
use std::path::PathBuf;

/// Arguments of `apply`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    /// Change identifier, to retry the same change
    #[bpaf(argument("ID"))]
    change: Option<String>,
    /// Revision that the file is based on, instead of the one named in the file
    #[bpaf(argument("REVISION"))]
    base: Option<i64>,
    /// Replace the configuration in force without a merge
    replace: bool,
    /// Fleet configuration file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Puts the configuration file in force.
///
/// # Errors
///
/// Fails before any write if the file is invalid, and names the sections that a conflicting edit
/// changed.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let text = ini::read_text(&arguments.file)?;
    let ours = Config::parse(&arguments.file.display().to_string(), &text)?;
    let store = arguments.store.client();
    let session = Session::new(&store);
    let base = arguments.base.or_else(|| show::base_revision(&text));
    let base_text = match base {
        Some(revision) => session.text_at(revision).await?,
        None => None,
    };
    let edit = Replacement {
        ours,
        text: show::strip_base(&text),
        base,
        base_text,
        replace: arguments.replace,
    };
    let id = arguments.change.map_or_else(new_id, Name::from);
    let applied = session.change(id, |current| edit.apply_to(current)).await?;
    Ok(output(&applied))
}

/// Formats an applied change.
pub(super) fn output(applied: &Applied) -> Output {
    let merged = if applied.merged { ", merged with concurrent changes" } else { "" };
    let Applied { id, revision, .. } = applied;
    let text = format!("revision {revision} is in force (change {id}{merged})");
    Output::line(text, json!({ "revision": revision, "change": id, "merged": applied.merged }))
}

/// A complete new text that was edited from an earlier revision.
struct Replacement {
    ours: Config,
    text: String,
    base: Option<i64>,
    base_text: Option<String>,
    replace: bool,
}

impl Replacement {
    fn apply_to(&self, current: &Current) -> Result<Edit> {
        let is_unchanged = self.base.unwrap_or(0) == current.revision;
        if self.replace || is_unchanged {
            return Ok(Edit::unmerged(self.text.clone()));
        }
        let Some(base) = self.base else { return Err(Error::BaseUnspecified(current.revision)) };
        let Some(base_text) = &self.base_text else {
            return Err(Error::BaseUnavailable { base, current: current.revision });
        };
        let base = Config::parse("base", base_text)?;
        let merged = merge(&base, &self.ours, &current.config()?)
            .map_err(|conflicts| Error::Conflict { revision: current.revision, conflicts })?;
        Ok(Edit { text: merged.print(), merged: true })
    }
}
