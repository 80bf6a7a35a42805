//! Command output, as text or JSON.

use bpaf::Bpaf;
use comfy_table::{Table, presets};
use serde_json::Value;

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc, generate(format))]
pub struct Format {
    /// Print JSON instead of text
    pub json: bool,
}

/// The output of a command in both formats.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Human-readable text, terminated by a newline.
    pub text: String,
    /// The JSON document printed with `--json`.
    pub json: Value,
    /// The exit code of the process.
    pub exit_code: u8,
}

impl Output {
    /// Creates an output with a single line of text.
    pub fn line(text: impl Into<String>, json: Value) -> Self {
        Self { text: format!("{}\n", text.into()), json, exit_code: 0 }
    }

    /// Creates an output with a table; the text is `placeholder` if there are no rows.
    pub fn table(columns: &[&str], rows: Vec<Vec<String>>, placeholder: &str, json: Value) -> Self {
        if rows.is_empty() {
            return Self::line(placeholder, json);
        }
        let mut table = Table::new();
        table.load_style(presets::NOTHING).set_header(columns.to_vec());
        table.add_rows(rows);
        let lines: Vec<String> = table.lines().map(|line| line.trim_end().to_owned()).collect();
        Self { text: format!("{}\n", lines.join("\n")), json, exit_code: 0 }
    }

    /// Renders the output in the given format.
    pub fn render(&self, format: Format) -> String {
        if format.json { format!("{:#}\n", self.json) } else { self.text.clone() }
    }
}
