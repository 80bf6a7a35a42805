//! Tables for a terminal.

use super::{Comparison, Quick, Summary};
use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::{CellAlignment, Table};

/// Formats the results of one run.
pub fn summary(summary: &Summary) -> String {
    let mut table = table(&["measure", "value"]);
    let mut row = |name: &str, value: String| {
        table.add_row([name, &value]);
    };
    row("floor", format!("{} (1 s of batch = {} s)", summary.testbed, summary.time_scale));
    row("policy, seed", format!("{}, {}", summary.policy, summary.seed));
    row("faults", joined(&summary.faults));
    row("seconds of load", format!("{:.1}", summary.seconds));
    row("quick requests", counts(&summary.quick));
    row("quick p50 / p99 / p99.9", latencies(&summary.quick));
    row("quick within deadline", percent(summary.quick.in_deadline));
    row("at the surge within deadline", percent(summary.surge_in_deadline));
    row("head-of-line wait p99", format!("{:.1} ms", summary.head_of_line_ms_p99));
    row("generator lag p99", format!("{:.1} ms", summary.quick.generator_lag_p99_ms));
    row("watchers", counts(&summary.watch));
    let batch = &summary.batch;
    row(
        "jobs",
        format!(
            "{} taken, {} done, {} failed, {} unknown, {} open, {} lost",
            batch.submitted, batch.done, batch.failed, batch.unknown, batch.open, batch.lost
        ),
    );
    row("job duplicates", batch.duplicates.to_string());
    row("tasks done per second", format!("{:.1}", batch.per_second));
    row("job turnaround p50", format!("{:.0} ms", batch.turnaround_p50_ms));
    row("evictions", format!("{} of {} starts", summary.evictions, batch.started));
    for (name, count) in summary.violations.by_name() {
        row(&format!("violations of {name}"), count.to_string());
    }
    table.to_string()
}

/// Formats runs with faults, one per row.
pub fn faults(summaries: &[Summary]) -> String {
    let mut table = table(&[
        "faults",
        "violations",
        "quick p99",
        "in deadline",
        "not run",
        "unknown",
        "jobs done",
        "failed",
        "unknown",
        "open",
        "lost",
        "per second",
        "evictions",
    ]);
    for summary in summaries {
        let (quick, batch) = (&summary.quick, &summary.batch);
        table.add_row([
            joined(&summary.faults),
            summary.violations.describe(),
            format!("{:.1} ms", quick.p99_ms),
            percent(quick.in_deadline),
            quick.not_run.to_string(),
            quick.unknown.to_string(),
            format!("{}/{}", batch.done, batch.submitted),
            batch.failed.to_string(),
            batch.unknown.to_string(),
            batch.open.to_string(),
            batch.lost.to_string(),
            format!("{:.1}", batch.per_second),
            summary.evictions.to_string(),
        ]);
    }
    table.to_string()
}

/// Formats measures with their targets, one per row.
pub fn comparison(comparison: &Comparison) -> String {
    let mut table = table(&["measure", "median", "target", "verdict"]);
    for criterion in &comparison.criteria {
        let verdict = if criterion.pass { "pass" } else { "short" };
        table.add_row([&*criterion.measure, &*criterion.measured, &*criterion.target, verdict]);
    }
    let broken = comparison.violations();
    let verdict = if broken.total() == 0 { "pass" } else { "short" };
    table.add_row(["violations", &broken.describe(), "none", verdict]);
    format!("{} over {} seeds\n{table}", comparison.testbed, comparison.rounds.len())
}

/// Formats rows below a header.
pub fn rows(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = table(header);
    for row in rows {
        table.add_row(row);
    }
    table.to_string()
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_BORDERS_ONLY).set_header(header);
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn counts(quick: &Quick) -> String {
    format!(
        "{} sent, {} done, {} not run, {} unknown",
        quick.sent, quick.done, quick.not_run, quick.unknown
    )
}

fn latencies(quick: &Quick) -> String {
    format!("{:.1} / {:.1} / {:.1} ms", quick.p50_ms, quick.p99_ms, quick.p999_ms)
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

fn joined(names: &[shallotflow_core::name::Name]) -> String {
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}
