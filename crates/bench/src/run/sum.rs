//! Summarizes the outcomes of a load.

use crate::load::generator::Settings;
use crate::load::outcomes::Outcomes;
use crate::load::tally::Tally;
use crate::report::{Batch, Quick, Summary, Violations, percentile_ms};
use crate::testbed::Testbed;
use shallotflow_core::class::Class;
use std::time::Duration;

/// Returns the measurements that the load generator itself provides.
pub fn summarize(testbed: &Testbed, settings: &Settings, outcomes: &Outcomes) -> Summary {
    let quick = outcomes.of_class(Class::Quick);
    let watch = outcomes.of_class(Class::Watch);
    let violations =
        Violations { whole_answer: quick.corrupted + watch.corrupted, ..Violations::default() };
    Summary {
        testbed: testbed.site.name.clone(),
        policy: "ours".into(),
        seed: settings.seed,
        seconds: settings.run.as_secs_f64(),
        time_scale: testbed.site.time_scale,
        surge_in_deadline: surge_share(testbed, settings.run, &quick),
        quick: Quick::from(&quick),
        watch: Quick::from(&watch),
        batch: batch(outcomes, settings.run),
        head_of_line_ms_p99: percentile_ms(&quick.waited, 0.99),
        violations,
        ..Summary::default()
    }
}

fn batch(outcomes: &Outcomes, run: Duration) -> Batch {
    let jobs = &outcomes.jobs;
    Batch {
        submitted: jobs.submitted,
        done: jobs.done,
        unknown: jobs.unknown,
        due: jobs.due,
        refused: jobs.refused,
        failed: jobs.failed,
        cancelled: jobs.cancelled,
        open: jobs.open(),
        lost: jobs.lost,
        resubmitted: jobs.resubmitted,
        per_second: jobs.done as f64 / run.as_secs_f64(),
        turnaround_p50_ms: percentile_ms(&jobs.turnaround, 0.5),
        ..Batch::default()
    }
}

/// Share of the requests due during the surge that were done within their deadline.
fn surge_share(testbed: &Testbed, run: Duration, quick: &Tally) -> f64 {
    let (begin, end) = testbed.surge.window(run);
    let index = |at: Duration| (at.as_millis() / Tally::WINDOW.as_millis()) as usize;
    let windows = quick.windows.iter().skip(index(begin)).take(index(end) - index(begin));
    let (sent, in_time) = windows.fold((0_u64, 0_u64), |(sent, in_time), window| {
        (sent + window.sent, in_time + window.in_time)
    });
    if sent == 0 { 1.0 } else { in_time as f64 / sent as f64 }
}
