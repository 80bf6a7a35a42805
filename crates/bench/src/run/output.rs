//! Writes results to files and derives the exit code.

use crate::report::Summary;
use anyhow::Context;
use serde::Serialize;
use std::path::Path;
use std::process::ExitCode;

/// Writes `value` as JSON to `path`, if there is one.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn json<T: Serialize>(path: Option<&Path>, value: &T) -> anyhow::Result<()> {
    let Some(path) = path else { return Ok(()) };
    let mut text = serde_json::to_string_pretty(value)?;
    text.push('\n');
    std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))
}

/// Writes a page to `path`.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn html(path: &Path, page: &str) -> anyhow::Result<()> {
    std::fs::write(path, page).with_context(|| format!("cannot write {}", path.display()))
}

/// Returns success only if the run has no violations.
pub fn exit_code(summary: &Summary) -> ExitCode {
    if summary.violations.total() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
