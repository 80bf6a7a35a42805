//! What a command prints.

use bpaf::Bpaf;
use comfy_table::{Table, presets};
use serde_json::Value;

/// The form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc, generate(output))]
pub struct Output {
    /// Print JSON instead of text
    pub json: bool,
}

/// The result of a command, as text for people and as JSON for programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// For people; ends with a line break.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl Answer {
    /// An answer of one line.
    pub fn line(text: impl Into<String>, json: Value) -> Self {
        Self { text: format!("{}\n", text.into()), json }
    }

    /// An answer with a table; without rows, `none` is printed instead.
    pub fn table(head: &[&str], rows: Vec<Vec<String>>, none: &str, json: Value) -> Self {
        if rows.is_empty() {
            return Self::line(none, json);
        }
        let mut table = Table::new();
        table.load_style(presets::NOTHING).set_header(head.to_vec());
        table.add_rows(rows);
        let lines: Vec<String> = table.lines().map(|line| line.trim_end().to_owned()).collect();
        Self { text: format!("{}\n", lines.join("\n")), json }
    }

    /// The text to print.
    pub fn render(&self, output: Output) -> String {
        if output.json { format!("{:#}\n", self.json) } else { self.text.clone() }
    }
}
