//! A self-contained HTML page with the measurements and plots of a run.

use super::plot::{Band, Line, Plot};
use super::{Result, table};
use crate::fault;
use crate::load::tally::{Latencies, Tally};
use crate::run::{Experiment, Findings};
use crate::testbed::Testbed;
use shallotflow_core::class::Class;
use std::time::Duration;

const STYLE: &str = "body{font:15px/1.4 sans-serif;margin:2em auto;max-width:900px}\
                     pre{font-size:12px;overflow-x:auto}";
const QUANTILES: usize = 400;

/// Renders a page about the first of `runs`; the others only appear in the latency distribution.
///
/// # Errors
///
/// Fails when a plot cannot be drawn.
pub fn page(testbed: &Testbed, run: Duration, runs: &[Findings]) -> Result<String> {
    let Some(first) = runs.first() else { return Ok(String::new()) };
    let bands = bands(testbed, run, first);
    let plots = [
        latency_over_time(first, &bands)?,
        throughput(first, &bands)?,
        evictions(first, &bands)?,
        distribution(runs)?,
    ];
    let title = format!("shallotflow on the floor {}", first.summary.testbed);
    let results = escape(&table::summary(&first.summary));
    let plots = plots.join("\n");
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style>\n<h1>{title}</h1>\n{plots}\n<pre>{results}</pre>\n</html>\n"
    ))
}

fn bands(testbed: &Testbed, run: Duration, findings: &Findings) -> Vec<Band> {
    let (begin, end) = testbed.surge.window(run);
    let mut bands = vec![Band::new("surge", begin, end)];
    if !findings.summary.faults.is_empty() {
        let (begin, end) = fault::window(run);
        bands.push(Band::new(&findings.summary.faults.join(", "), begin, end));
    }
    bands
}

fn latency_over_time(findings: &Findings, bands: &[Band]) -> Result<String> {
    let quick = findings.outcomes.of_class(Class::Quick);
    let at = |index: usize| (Tally::WINDOW * index as u32).as_secs_f64();
    let windows = quick.windows.iter().enumerate().filter(|(_, window)| window.done > 0);
    let slowest = windows.clone().map(|(index, window)| (at(index), ms(window.slowest_us)));
    let mean = windows.map(|(index, window)| (at(index), ms(window.total_us / window.done)));
    Plot::new("Quick latency by due time", "seconds", "milliseconds")
        .with(Line::new("slowest", slowest))
        .with(Line::new("mean", mean))
        .draw(bands)
}

fn throughput(findings: &Findings, bands: &[Band]) -> Result<String> {
    let interval = Experiment::SAMPLE_INTERVAL.as_secs_f64();
    let counts = findings.samples.iter().map(|sample| sample.completions);
    let before = std::iter::once(0).chain(counts.clone());
    let rates = counts.zip(before).enumerate().map(|(index, (count, before))| {
        ((index + 1) as f64 * interval, (count - before) as f64 / interval)
    });
    Plot::new("Batch tasks ended well", "seconds", "tasks per second")
        .with(Line::new("rate", rates))
        .draw(bands)
}

fn evictions(findings: &Findings, bands: &[Band]) -> Result<String> {
    let interval = Experiment::SAMPLE_INTERVAL.as_secs_f64();
    let samples = findings.samples.iter().enumerate();
    let counts =
        samples.map(|(index, sample)| ((index + 1) as f64 * interval, sample.evictions as f64));
    Plot::new("Evictions", "seconds", "tasks so far").with(Line::new("sum", counts)).draw(bands)
}

fn distribution(runs: &[Findings]) -> Result<String> {
    let mut plot = Plot::new("Quick latency", "milliseconds", "share of requests done");
    for findings in runs {
        let latency = findings.outcomes.of_class(Class::Quick).latency;
        plot = plot.with(Line::new(&findings.summary.policy, cumulative(&latency)));
    }
    plot.draw(&[])
}

fn cumulative(latency: &Latencies) -> Vec<(f64, f64)> {
    let share = |step: usize| step as f64 / QUANTILES as f64;
    // Leaves out the last quantile, so that one outlier does not determine the scale.
    let steps = (0..QUANTILES).map(share);
    steps.map(|share| (ms(latency.value_at_quantile(share)), share)).collect()
}

fn ms(micros: u64) -> f64 {
    micros as f64 / 1e3
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
