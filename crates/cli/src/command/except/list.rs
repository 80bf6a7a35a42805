//! `shallotflow except list`.

use super::super::show::unix_now_s;
use crate::change::Session;
use crate::connect::{Endpoints, endpoints};
use crate::error::Result;
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use serde_json::json;
use shallotflow_core::fleet::{Exception, Values};
use shallotflow_core::ini::codec::{Codec, Timestamp};

/// Arguments of `except list`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(list))]
pub struct List {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(endpoints))]
    store: Endpoints,
}

/// Lists the exceptions.
///
/// # Errors
///
/// Fails if the store does not respond.
pub(super) async fn run(arguments: List) -> Result<Output> {
    let client = arguments.store.client();
    let config = Session::new(&client).read().await?.config()?;
    let rows = config.exceptions.iter().map(|exception| row(exception, unix_now_s())).collect();
    let columns = ["ID", "WHERE", "VALUES", "REASON", "AUTHOR", "EXPIRES"];
    Ok(Output::table(&columns, rows, "no exceptions", json!(config.exceptions)))
}

fn row(exception: &Exception, now: u64) -> Vec<String> {
    let condition = &exception.condition;
    let conditions = [
        ("domain", &condition.domain),
        ("worker", &condition.worker),
        ("kind", &condition.kind),
        ("caller", &condition.caller),
    ];
    let conditions =
        conditions.iter().filter_map(|(key, name)| Some(format!("{key}={}", name.as_ref()?)));
    let values = exception.overrides.iter().filter_map(|name| {
        let key = Values::TABLE.key("defaults", name)?;
        Some(format!("{name}={}", (key.print)(&exception.values)))
    });
    let expires = exception.expires_unix_s.map_or_else(String::new, |expires| {
        let suffix = if exception.is_in_force(now) { "" } else { " (ended)" };
        format!("{}{suffix}", Timestamp::print(&expires))
    });
    vec![
        exception.id.to_string(),
        conditions.collect::<Vec<_>>().join(" "),
        values.collect::<Vec<_>>().join(" "),
        exception.reason.to_string(),
        exception.author.as_deref().unwrap_or_default().to_owned(),
        expires,
    ]
}
