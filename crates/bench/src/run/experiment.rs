//! One experiment: a load on the processes of a testbed.

use super::{Policy, System, display, summarize};
use crate::cluster::Settings;
use crate::fault::{ConfigReport, Controller, Scenario, shape};
use crate::load::generator::{self, Running};
use crate::load::outcomes::Outcomes;
use crate::load::token::Token;
use crate::report::{Summary, Violations};
use crate::testbed::Testbed;
use shallotflow_core::name::Name;
use shallotflow_standin::audit::{Audit, Record};
use std::net::SocketAddr;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The settings of one experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The testbed.
    pub testbed: Testbed,
    /// How long load is sent.
    pub run: Duration,
    /// How long jobs may take to end after the load.
    pub settle: Duration,
    /// The seed of all random choices.
    pub seed: u64,
    /// The scheduler and the parts of the load that it gets.
    pub policy: Policy,
    /// The faults to inject.
    pub faults: Vec<Scenario>,
    /// The log filter of the processes.
    pub log: Name,
}

/// The results of an experiment.
#[derive(Clone, Debug)]
pub struct Findings {
    /// The measurements and counts.
    pub summary: Summary,
    /// The outcomes of all requests and jobs.
    pub outcomes: Outcomes,
    /// Counts at the end of each sampling interval.
    pub samples: Vec<Sample>,
}

/// The counts of the stand-ins at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Tasks completed so far.
    pub completions: u64,
    /// Tasks evicted so far.
    pub evictions: u64,
}

impl Experiment {
    /// The interval of [`Findings::samples`].
    pub const SAMPLE_INTERVAL: Duration = SAMPLE_INTERVAL;

    /// Starts the processes, sends the load, stops the processes gracefully and summarizes the run.
    ///
    /// # Errors
    ///
    /// Fails when a process or a thread cannot be started, or a process fails.
    pub fn execute(&self) -> anyhow::Result<Findings> {
        let testbed = self.testbed_with_faults();
        let processes =
            Settings { log: self.log.clone(), ..Settings::new(testbed.clone(), self.seed) };
        let mut system = System::start(self.policy, processes)?;
        let audit = system.audit();
        let settings = self.load(system.callers());
        let running = Running::start(&testbed, &settings)?;
        let mut controller = Controller::new(self.faults.clone(), self.run, self.seed);
        let mut samples = Vec::new();
        display::follow(&running, self.run, || {
            record_samples(&running, &audit, &mut samples);
            system.advance_faults(&mut controller, running.start.elapsed())
        })?;
        let outcomes = running.join()?;
        // The graceful stop checkpoints running tasks; these do not count as evictions of the run.
        let counted = audit.record().clone();
        system.stop()?;
        let summary = Summary {
            policy: self.policy.as_str().into(),
            faults: self.faults.iter().map(|scenario| scenario.as_str().into()).collect(),
            evictions: counted.evictions,
            ..add_audit(summarize(&testbed, &settings, &outcomes), &audit, &outcomes)
        };
        let mut summary = with_config_report(summary, controller.report());
        summary.batch.started = counted.starts;
        let summary = with_throughput(summary, &samples, self.run);
        Ok(Findings { summary, outcomes, samples })
    }

    /// The testbed with the load changes of the injected faults.
    fn testbed_with_faults(&self) -> Testbed {
        let mut testbed = self.testbed.clone();
        for scenario in &self.faults {
            shape::apply(*scenario, &mut testbed);
        }
        testbed
    }

    fn load(&self, address: SocketAddr) -> generator::Settings {
        generator::Settings {
            address,
            run: self.run,
            settle: self.settle,
            requests: self.policy.sends_requests(),
            jobs: self.policy.sends_jobs(),
            seed: self.seed,
            ..generator::Settings::default()
        }
    }
}

/// Records the counts of the stand-ins once per sampling interval.
fn record_samples(running: &Running, audit: &Audit, samples: &mut Vec<Sample>) {
    let elapsed = running.start.elapsed();
    let record = audit.record();
    let now = Sample { completions: record.completions, evictions: record.evictions };
    while elapsed >= SAMPLE_INTERVAL * (samples.len() as u32 + 1) {
        samples.push(now);
    }
}

/// Adds the violations, evictions and duplicates that the stand-ins observed.
fn add_audit(summary: Summary, audit: &Audit, outcomes: &Outcomes) -> Summary {
    let record = audit.record();
    let violations = Violations {
        whole_answer: summary.violations.whole_answer,
        not_run_means_not_run: ran_despite_refusal(&record, outcomes),
        ..observed_violations(&record)
    };
    let mut summary =
        Summary { evictions: record.evictions, violations, notes: record.notes.clone(), ..summary };
    summary.batch.duplicates = record.duplicates;
    summary
}

fn observed_violations(record: &Record) -> Violations {
    let seen = record.violations;
    Violations {
        capacity: seen.capacity_exceeded + seen.memory_exhausted,
        one_worker_at_a_time: seen.job_ran_twice_at_once,
        resume_once: seen.resumed_twice,
        at_most_once: seen.ran_more_than_once,
        leaving_gets_nothing: seen.started_on_leaving,
        graceful_stop: seen.cut_off_by_stop,
        ..Violations::default()
    }
}

/// Counts requests and jobs that were reported as not run although a worker ran them.
fn ran_despite_refusal(record: &Record, outcomes: &Outcomes) -> u64 {
    let refused = outcomes.requests.iter().flat_map(|requests| &requests.tally.not_run_tokens);
    let ran = |token: &&Token| record.has_run(&Name::from(token.to_string()));
    let started = outcomes.jobs.never_run.iter().filter(|job| record.has_started(job));
    refused.filter(ran).count() as u64 + started.count() as u64
}

fn with_config_report(mut summary: Summary, report: &ConfigReport) -> Summary {
    summary.config_changes = report.accepted;
    summary.violations.config_never_reverts = report.reverted;
    summary.notes.extend_from_slice(&report.notes);
    summary
}

fn with_throughput(mut summary: Summary, samples: &[Sample], run: Duration) -> Summary {
    let last = (run.as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
    let at_end = samples.get(last.saturating_sub(1)).or(samples.last());
    if let Some(sample) = at_end {
        summary.batch.per_second = sample.completions as f64 / run.as_secs_f64();
    }
    summary
}
