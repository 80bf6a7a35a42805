//! Compares the scheduler with its baselines and with its performance targets.

use super::{Summary, Violations};
use crate::testbed::Testbed;
use serde::Serialize;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;

const ISOLATED_FACTOR: f64 = 1.25;
const NAIVE_FACTOR: f64 = 1.0 / 3.0;
const THROUGHPUT_SHARE: f64 = 0.9;
const EVICTED_SHARE: f64 = 0.02;
const SURGE_SHARE: f64 = 0.99;

/// The runs with one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Round {
    /// The scheduler with the load of the testbed.
    pub ours: Summary,
    /// The scheduler without batch jobs.
    pub isolated: Summary,
    /// The naive scheduler.
    pub naive: Summary,
    /// The scheduler with more jobs than the workers can run.
    pub saturated: Summary,
    /// The naive scheduler with the same jobs.
    pub naive_saturated: Summary,
    /// The scheduler with the same jobs and no requests.
    pub batch_alone: Summary,
    /// Average number of slots occupied by requests in the saturated run.
    pub requests_slots: f64,
}

/// One measure with its target.
#[derive(Clone, Debug, Serialize)]
pub struct Criterion {
    /// The name of the measure.
    pub measure: String,
    /// The measured value.
    pub measured: String,
    /// The target value.
    pub target: String,
    /// Whether the measured value meets the target.
    pub pass: bool,
}

/// All rounds, with the medians compared with the targets.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// The name of the testbed.
    #[serde(rename = "floor")]
    pub testbed: Name,
    /// The runs, by seed.
    pub rounds: Vec<Round>,
    /// The measures with their targets.
    #[serde(rename = "rows")]
    pub criteria: Vec<Criterion>,
}

impl Comparison {
    /// Compares the medians over `rounds` with the targets.
    pub fn new(testbed: &Testbed, rounds: Vec<Round>) -> Self {
        let criteria = vec![
            quick_vs_isolated(&rounds),
            quick_vs_naive(&rounds),
            saturated_vs_naive(&rounds),
            throughput(testbed, &rounds),
            evictions(&rounds),
            surge(&rounds),
            head_of_line(testbed, &rounds),
        ];
        Self { testbed: testbed.site.name.clone(), rounds, criteria }
    }

    /// Returns the violations in all runs of the scheduler, without those of the baseline.
    pub fn violations(&self) -> Violations {
        let runs = self
            .rounds
            .iter()
            .flat_map(|round| [&round.ours, &round.isolated, &round.saturated, &round.batch_alone]);
        runs.fold(Violations::default(), |sum, run| sum.plus(&run.violations))
    }
}

fn quick_vs_isolated(rounds: &[Round]) -> Criterion {
    let ours = median(rounds, |round| round.ours.quick.p99_ms);
    let isolated = median(rounds, |round| round.isolated.quick.p99_ms);
    quick("quick p99, ms, beside isolated", ours, isolated, ISOLATED_FACTOR)
}

fn quick_vs_naive(rounds: &[Round]) -> Criterion {
    let ours = median(rounds, |round| round.ours.quick.p99_ms);
    let naive = median(rounds, |round| round.naive.quick.p99_ms);
    quick("quick p99, ms, beside naive", ours, naive, NAIVE_FACTOR)
}

fn saturated_vs_naive(rounds: &[Round]) -> Criterion {
    let ours = median(rounds, |round| round.saturated.quick.p99_ms);
    let naive = median(rounds, |round| round.naive_saturated.quick.p99_ms);
    quick("quick p99, ms, beside naive, saturated", ours, naive, NAIVE_FACTOR)
}

/// A latency that may be at most `factor` times that of a baseline.
fn quick(measure: &str, ours: f64, baseline: f64, factor: f64) -> Criterion {
    Criterion {
        measure: measure.into(),
        measured: format!("{ours:.1} beside {baseline:.1}"),
        target: format!("at most {:.1}", factor * baseline),
        pass: ours <= factor * baseline,
    }
}

fn throughput(testbed: &Testbed, rounds: &[Round]) -> Criterion {
    let slots = f64::from(testbed.capacity.slots) * testbed.site.workers as f64;
    let ours = median(rounds, |round| round.saturated.batch.per_second);
    let available = median(rounds, |round| {
        round.batch_alone.batch.per_second * (1.0 - round.requests_slots / slots)
    });
    Criterion {
        measure: "batch tasks per second, saturated".into(),
        measured: format!("{ours:.1} of {available:.1}"),
        target: format!("at least {:.1}", THROUGHPUT_SHARE * available),
        pass: ours >= THROUGHPUT_SHARE * available,
    }
}

fn evictions(rounds: &[Round]) -> Criterion {
    let share = |run: &Summary| run.evictions as f64 / (run.batch.started.max(1)) as f64;
    let evicted = median(rounds, |round| share(&round.ours).max(share(&round.saturated)));
    Criterion {
        measure: "evictions of starts".into(),
        measured: percent(evicted),
        target: format!("at most {}", percent(EVICTED_SHARE)),
        pass: evicted <= EVICTED_SHARE,
    }
}

fn surge(rounds: &[Round]) -> Criterion {
    let ours = median(rounds, |round| round.ours.surge_in_deadline);
    let naive = median(rounds, |round| round.naive.surge_in_deadline);
    Criterion {
        measure: "in deadline at the surge, naive beside it".into(),
        measured: format!("{} beside {}", percent(ours), percent(naive)),
        target: format!("at least {}", percent(SURGE_SHARE)),
        pass: ours >= SURGE_SHARE,
    }
}

fn head_of_line(testbed: &Testbed, rounds: &[Round]) -> Criterion {
    let ours = median(rounds, |round| round.ours.head_of_line_ms_p99);
    let naive = median(rounds, |round| round.naive.head_of_line_ms_p99);
    let service = mean_service_ms(testbed);
    Criterion {
        measure: "head-of-line wait p99, ms, naive beside it".into(),
        measured: format!("{ours:.1} beside {naive:.1}"),
        target: format!("at most {service:.1}"),
        pass: ours <= service,
    }
}

/// The mean service time of quick kinds, weighted by their rates, milliseconds.
fn mean_service_ms(testbed: &Testbed) -> f64 {
    let (total, rate) = testbed.kinds_of(Class::Quick).fold((0.0, 0.0), |(total, rate), kind| {
        let sigma = f64::from(kind.spread) / 1e3;
        let mean_ms = kind.median.as_secs_f64() * 1e3 * (sigma * sigma / 2.0).exp();
        (total + mean_ms * f64::from(kind.rate), rate + f64::from(kind.rate))
    });
    if rate == 0.0 { 0.0 } else { total / rate }
}

fn median(rounds: &[Round], measure: impl Fn(&Round) -> f64) -> f64 {
    let mut values: Vec<f64> = rounds.iter().map(measure).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}
