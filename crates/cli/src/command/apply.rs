//! `shallotflow apply FILE`.

use super::show;
use crate::answer::{Answer, Output, output};
use crate::change::{Applied, Current, Edit, Session, new_id};
use crate::connect::{Endpoints, endpoints};
use crate::error::{Error, Result};
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
    pub(super) output: Output,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    /// Identifier of the change, to try the same change again
    #[bpaf(argument("ID"))]
    change: Option<String>,
    /// Revision that the file is an edit of, instead of the one that the file names
    #[bpaf(argument("REVISION"))]
    base: Option<i64>,
    /// Discard what is in force, whatever it is
    replace: bool,
    /// The file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Puts the file in force.
///
/// # Errors
///
/// Refuses an invalid file before any write, and names what another edit changed.
pub(super) async fn run(arguments: Arguments) -> Result<Answer> {
    let text = ini::read_text(&arguments.file)?;
    let ours = Config::parse(&arguments.file.display().to_string(), &text)?;
    let store = arguments.store.client();
    let session = Session::new(&store);
    let base = arguments.base.or_else(|| show::base(&text));
    let base_text = match base {
        Some(revision) => session.past(revision).await?,
        None => None,
    };
    let edit = Replacement {
        ours,
        text: show::without_base(&text),
        base,
        base_text,
        replace: arguments.replace,
    };
    let id = arguments.change.map_or_else(new_id, Name::from);
    let applied = session.change(id, |current| edit.over(current)).await?;
    Ok(answer(&applied))
}

/// The answer about an applied change.
pub(super) fn answer(applied: &Applied) -> Answer {
    let merged = if applied.merged { ", merged with a change of others" } else { "" };
    let Applied { id, revision, .. } = applied;
    let text = format!("revision {revision} is in force (change {id}{merged})");
    Answer::line(text, json!({ "revision": revision, "change": id, "merged": applied.merged }))
}

/// A whole new text, made from an earlier one.
struct Replacement {
    ours: Config,
    text: String,
    base: Option<i64>,
    base_text: Option<String>,
    replace: bool,
}

impl Replacement {
    fn over(&self, current: &Current) -> Result<Edit> {
        let untouched = self.base.unwrap_or(0) == current.revision;
        if self.replace || untouched {
            return Ok(Edit::direct(self.text.clone()));
        }
        let Some(base) = self.base else { return Err(Error::BaseMissing(current.revision)) };
        let Some(base_text) = &self.base_text else {
            return Err(Error::BaseGone { base, current: current.revision });
        };
        let base = Config::parse("base", base_text)?;
        let merged = merge(&base, &self.ours, &current.config()?)
            .map_err(|clashes| Error::Conflict { revision: current.revision, clashes })?;
        Ok(Edit { text: merged.print(), merged: true })
    }
}
