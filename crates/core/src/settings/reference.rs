//! The reference page of the settings, generated from the key tables.

use super::{agent, entry, standin};
use crate::fleet;
use crate::ini::{Key, Table};

/// The page as Markdown.
pub fn page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         Each process reads one INI file, given by `--config FILE`. Omitted keys keep their\n\
         defaults. A line that starts with `;` or `#` is a comment. Unknown sections and keys,\n\
         wrong units and values out of range are rejected with file, line and remedy.\n\n\
         This page is generated from the code by `cargo run -p shallotflow-codegen`.\n",
    );
    push_program(&mut page, "shallotflow-entry", &entry::Settings::TABLE);
    push_program(&mut page, "shallotflow-agent", &agent::Settings::TABLE);
    push_program(&mut page, "shallotflow-standin", &standin::Settings::TABLE);
    push_program(&mut page, "Fleet configuration", &fleet::Values::TABLE);
    page.push_str(
        "\n### `[exception ID]`\n\nAn exception also accepts every key of `[defaults]`. It needs a \
         reason, a condition\n(`domain`, `worker`, `kind` or `caller`) and an override.\n\n",
    );
    push_scopes(&mut page);
    fleet::push_reference(&mut page);
    page
}

fn push_program<T: Default>(page: &mut String, program: &str, table: &Table<T>) {
    let defaults = T::default();
    page.push_str(&format!("\n## {program}\n"));
    for section in table.sections() {
        page.push_str(&format!("\n### `[{section}]`\n\n"));
        push_keys(page, table, section, &defaults);
    }
}

/// Appends a table with one row for each key of a section.
pub(crate) fn push_keys<T>(page: &mut String, table: &Table<T>, section: &str, defaults: &T) {
    page.push_str("| key | meaning | takes | range | default |\n|---|---|---|---|---|\n");
    for key in table.keys.iter().filter(|key| key.section == section) {
        let range = (key.range)()
            .map_or("any".to_owned(), |(lowest, highest)| format!("`{lowest}` to `{highest}`"));
        let default = match (key.print)(defaults) {
            _ if table.requires(section, key.name) => "required".to_owned(),
            text if text.is_empty() => "empty".to_owned(),
            text => format!("`{text}`"),
        };
        let Key { name, description, expected, .. } = key;
        page.push_str(&format!(
            "| `{name}` | {description} | {expected} | {range} | {default} |\n"
        ));
    }
}

fn push_scopes(page: &mut String) {
    page.push_str("| keys | apply to | conditions that may be given |\n|---|---|---|\n");
    for scope in fleet::Scope::ALL {
        let keys: Vec<_> = fleet::Values::TABLE
            .names("defaults")
            .filter(|key| fleet::Scope::of(key) == scope)
            .map(|key| format!("`{key}`"))
            .collect();
        let conditions = scope.conditions().join("`, `");
        let (keys, scope) = (keys.join(", "), scope.as_str());
        page.push_str(&format!("| {keys} | {scope} | `{conditions}` |\n"));
    }
    page.push('\n');
}
