//! Evacuated failure domains: what starts, what waits, and what goes on.

use super::harness::{Harness, id, job, name, step, task};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotflow_core::graph::{Step, Task};
use shallotflow_core::name::Name;
use shallotflow_policy::plan::evacuation_requests::Error;
use shallotflow_policy::plan::message::{ExitReason, Outcome, Status};
use shallotflow_policy::plan::{EvacuationRequests, Event, Phase};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::test_case;

const WORKERS: usize = 8;
const DOMAINS: usize = 4;
const SEEDS: u64 = 40;

/// Creates an owner with workers of ten processors, in turn in each of four failure domains.
fn harness(workers: usize) -> Harness {
    let mut harness = Harness::new(workers);
    for number in 0..workers {
        harness.worker(number).failure_domain = domain(number);
    }
    harness.report_all();
    harness
}

fn domain(number: usize) -> Name {
    format!("domain-{}", number % DOMAINS).into()
}

fn domains(numbers: &[usize]) -> BTreeMap<Name, i64> {
    numbers.iter().map(|number| (domain(*number), 7)).collect()
}

fn evacuate(harness: &mut Harness, numbers: &[usize]) {
    harness.table.set_evacuated(domains(numbers), harness.now);
}

/// Returns the failure domains in which tasks run.
fn used(harness: &Harness) -> BTreeSet<Name> {
    let busy = harness.workers.values().filter(|worker| !worker.running.is_empty());
    busy.map(|worker| worker.failure_domain.clone()).collect()
}

fn finish_all(harness: &mut Harness) {
    for running in harness.running() {
        harness.end(running, ExitReason::Done);
    }
    harness.report_all();
}

fn events(harness: &mut Harness) -> Vec<Event> {
    let evacuations =
        |event: &Event| matches!(event, Event::Evacuated { .. } | Event::Readmitted { .. });
    harness.table.take_events().into_iter().filter(evacuations).collect()
}

/// Guards against starts in an evacuated domain, and against tasks that are lost by the request.
#[test]
fn with_two_of_four_domains_evacuated_under_full_load_only_the_others_start_tasks() {
    let mut harness = harness(WORKERS);
    harness.table.accept(id(1), job(vec![step(40, 5_000)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 2 * WORKERS);
    evacuate(&mut harness, &[0, 1]);
    harness.run_round();
    assert_eq!(harness.running().len(), 2 * WORKERS, "what runs goes on");
    let mut done = 0;
    while done < 40 {
        done += harness.running().len();
        finish_all(&mut harness);
        harness.wait(Duration::from_millis(30));
        harness.run_round();
        assert!(
            used(&harness).is_subset(&BTreeSet::from([domain(2), domain(3)])),
            "{:?}",
            used(&harness)
        );
        assert_eq!(harness.running().len(), (40 - done).min(WORKERS), "the others are full");
        assert_eq!(harness.table.audit(harness.now, &harness.holders), Ok(()));
    }
    assert!(harness.table.job(id(1)).is_some_and(|job| job.ended.is_some()), "no task is lost");
}

/// Guards against workers that stay unused after the request is withdrawn.
#[test]
fn workers_get_tasks_at_once_when_the_request_is_withdrawn() {
    let mut harness = harness(WORKERS);
    evacuate(&mut harness, &[0, 1, 2, 3]);
    harness.report_all();
    harness.table.accept(id(1), job(vec![step(16, 5_000)]), true, harness.now);
    harness.run_round();
    assert!(harness.running().is_empty(), "everything waits");
    evacuate(&mut harness, &[1, 2, 3]);
    harness.report_all();
    harness.run_round();
    assert_eq!(used(&harness), BTreeSet::from([domain(0)]));
    evacuate(&mut harness, &[]);
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 16);
}

/// Guards against a start that an agent receives after the request.
#[test]
fn a_start_that_its_agent_has_not_received_is_withdrawn_and_the_task_starts_elsewhere() {
    let mut harness = harness(1);
    harness.table.accept(id(1), job(vec![step(1, 5_000)]), true, harness.now);
    harness.tick();
    evacuate(&mut harness, &[0]);
    assert_eq!(harness.table.take_evacuation_refusals(), 1);
    harness.report(0);
    assert!(harness.ordered_starts(0).is_empty());
    assert!(harness.worker(0).evacuated);
    harness.execute_orders();
    harness.report(0);
    assert_eq!(harness.phase(task(1, 0, 0)), Phase::Waiting);
    harness.run_round();
    assert!(harness.running().is_empty());
}

/// Guards against a start that an agent has received before the request and executes after it.
#[test]
fn a_start_that_its_agent_refuses_is_counted_and_the_task_waits() {
    let mut harness = harness(1);
    harness.table.accept(id(1), job(vec![step(1, 5_000)]), true, harness.now);
    harness.tick();
    harness.report(0);
    assert_eq!(harness.ordered_starts(0), [task(1, 0, 0)]);
    // The agent confirms that it has received the order.
    harness.report(0);
    evacuate(&mut harness, &[0]);
    harness.report(0);
    harness.execute_orders();
    let refused = &harness.worker(0).answers;
    assert!(refused.iter().any(|answer| answer.outcome == Outcome::NotReady));
    harness.report(0);
    assert_eq!(harness.table.take_evacuation_refusals(), 1);
    assert_eq!(harness.phase(task(1, 0, 0)), Phase::Waiting);
}

/// Guards against a waiting reply that is not sent when the state changes, and one that is sent again
/// and again.
#[test]
fn a_change_is_an_update_until_the_agent_reports_that_it_knows() {
    let mut harness = harness(1);
    assert!(!harness.table.has_updates("agent-00", 0));
    evacuate(&mut harness, &[0]);
    assert!(harness.table.take_updated().contains(&name(0)));
    assert!(harness.table.has_updates("agent-00", 0));
    harness.report(0);
    harness.report(0);
    assert!(!harness.table.has_updates("agent-00", 0));
    evacuate(&mut harness, &[]);
    assert!(harness.table.has_updates("agent-00", 0));
    let version = harness.table.reply("agent-00").evacuation_version;
    assert!(version > 1, "each change has a higher version");
}

/// Guards against a request that applies only to the workers known when it was made.
#[test]
fn a_request_for_a_domain_without_workers_applies_to_workers_that_join_later() {
    let mut harness = Harness::new(1);
    evacuate(&mut harness, &[0]);
    let (domain, workers, runs) = (domain(0), 0, 0);
    let event = Event::Evacuated { domain: domain.clone(), revision: 7, workers, runs };
    assert_eq!(events(&mut harness), [event]);
    harness.worker(0).failure_domain = domain;
    harness.table.accept(id(1), job(vec![step(1, 5_000)]), true, harness.now);
    harness.report(0);
    harness.run_round();
    assert!(harness.running().is_empty());
    assert!(harness.worker(0).evacuated);
}

/// Guards against a gang that is split between the domains.
#[test]
fn a_gang_is_placed_as_a_whole_outside_the_domain() {
    let mut harness = harness(4);
    evacuate(&mut harness, &[0, 1]);
    harness.report_all();
    let gang = |count| Step { gang: true, ..step(count, 5_000) };
    harness.table.accept(id(1), job(vec![gang(5)]), true, harness.now);
    harness.run_round();
    assert!(harness.running().is_empty(), "two workers have room for four members");
    harness.table.accept(id(2), job(vec![gang(4)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 4);
    assert_eq!(used(&harness), BTreeSet::from([domain(2), domain(3)]));
}

/// Guards against a required label or the place of data that outweighs the evacuation.
#[test]
fn a_task_waits_for_its_label_and_runs_away_from_its_data() {
    let mut harness = harness(2);
    harness.worker(0).labels = vec![Name::from("special")];
    harness.worker(0).rack = Some(Name::from("rack-0"));
    harness.report_all();
    evacuate(&mut harness, &[0]);
    harness.report_all();
    let labelled = Step { required_label: Some(Name::from("special")), ..step(1, 1_000) };
    let near = Step { data_rack: Some(Name::from("rack-0")), ..step(1, 1_000) };
    harness.table.accept(id(1), job(vec![labelled]), true, harness.now);
    harness.table.accept(id(2), job(vec![near]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running(), [task(2, 0, 0)]);
    assert_eq!(harness.worker_of(task(2, 0, 0)), Some(1));
    evacuate(&mut harness, &[]);
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.worker_of(task(1, 0, 0)), Some(0));
}

/// Guards against a service that is stopped by the request, or that restarts in the domain.
#[test]
fn a_long_running_task_goes_on_and_restarts_elsewhere_when_it_ends() {
    let mut harness = harness(2);
    harness.worker(1).status = Status::Draining { remaining_ms: 1_000 };
    harness.report_all();
    let service = Step { long_running: true, target_ms: 20, ..step(1, 1_000) };
    harness.table.accept(id(1), job(vec![service]), true, harness.now);
    harness.run_round();
    harness.worker(1).status = Status::Ready;
    evacuate(&mut harness, &[0]);
    harness.report_all();
    harness.wait(Duration::from_secs(20));
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.worker_of(task(1, 0, 0)), Some(0));
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.worker_of(task(1, 0, 0)), Some(1));
}

/// Guards against a burst of work at workers that have just returned.
#[test]
fn a_cold_worker_is_used_last_and_the_coldest_after_the_others() {
    let mut harness = harness(3);
    harness.worker(0).cold_remaining_ms = 30_000;
    harness.worker(1).cold_remaining_ms = 5_000;
    harness.report_all();
    harness.table.accept(id(1), job(vec![step(6, 5_000)]), true, harness.now);
    harness.tick();
    harness.report_all();
    let starts = |harness: &Harness, number| {
        harness.ordered_starts(number).iter().map(|task| task.index).collect::<Vec<_>>()
    };
    assert_eq!(starts(&harness, 2), [0, 1]);
    assert_eq!(starts(&harness, 1), [2, 3]);
    assert_eq!(starts(&harness, 0), [4, 5]);
}

/// Guards against best-effort tasks that never use a cold worker, since its score is above the limit.
#[test]
fn best_effort_tasks_use_a_cold_worker_when_the_others_are_full() {
    let mut harness = harness(2);
    harness.worker(0).cold_remaining_ms = 5_000;
    harness.report_all();
    let filling = Step { best_effort: true, image: Some("red".into()), ..step(4, 5_000) };
    harness.table.accept(id(1), job(vec![filling]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker(1).running.len(), 2);
    assert_eq!(harness.worker(0).running.len(), 2);
    assert_eq!(harness.table.audit(harness.now, &harness.holders), Ok(()));
}

/// Guards against state that differs from one rebuilt from jobs and workers, and lost tasks.
#[test]
fn requests_and_withdrawals_at_random_leave_the_table_consistent_and_every_job_ends() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut harness = harness(WORKERS);
        for number in 1..=6 {
            let mut steps = vec![step(rng.random_range(1..8), rng.random_range(500..6_000))];
            steps[0].best_effort = rng.random_bool(0.3);
            steps[0].image = Some("red".into());
            harness.table.accept(id(number), job(steps), true, harness.now);
        }
        for _ in 0..60 {
            let evacuated: Vec<usize> = (0..DOMAINS).filter(|_| rng.random_bool(0.3)).collect();
            match rng.random_range(0..6) {
                0 => evacuate(&mut harness, &evacuated),
                1 => harness.report(rng.random_range(0..WORKERS)),
                2 => harness.execute_orders(),
                3 => harness.tick(),
                4 => {
                    let number = rng.random_range(0..WORKERS);
                    harness.worker(number).cold_remaining_ms = rng.random_range(0..3_000);
                    harness.report(number);
                }
                _ => {
                    let running = harness.running();
                    if !running.is_empty() {
                        let ended: Task = running[rng.random_range(0..running.len())];
                        harness.end(ended, ExitReason::Done);
                    }
                    harness.run_round();
                }
            }
            harness.wait(Duration::from_millis(10));
            harness.table.expire(harness.now, harness.now.as_millis());
            let audit = harness.table.audit(harness.now, &harness.holders);
            assert_eq!(audit, Ok(()), "seed {seed}");
        }
        evacuate(&mut harness, &[]);
        for _ in 0..40 {
            harness.report_all();
            finish_all(&mut harness);
            harness.wait(Duration::from_millis(100));
            harness.run_round();
        }
        let open = harness.table.jobs().filter(|job| job.ended.is_none()).count();
        assert_eq!(open, 0, "seed {seed}");
    }
}

/// Guards against a state dump that hides how far an evacuation is.
#[test]
fn the_evacuations_show_the_request_and_what_still_runs() {
    let mut harness = harness(4);
    harness.table.accept(id(1), job(vec![step(4, 6_000)]), true, harness.now);
    harness.run_round();
    evacuate(&mut harness, &[2]);
    let since = harness.now;
    harness.wait(Duration::from_secs(3));
    harness.table.set_evacuated(domains(&[2]), harness.now);
    let shown = harness.table.evacuations();
    assert_eq!(shown.len(), 1);
    let shown = &shown[0];
    assert_eq!((shown.revision, shown.since, shown.workers, shown.runs), (7, since, 1, 1));
    let event = Event::Evacuated { domain: domain(2), revision: 7, workers: 1, runs: 1 };
    assert_eq!(events(&mut harness), [event], "a repeated request is no change");
    evacuate(&mut harness, &[]);
    assert_eq!(events(&mut harness), [Event::Readmitted { domain: domain(2), workers: 1 }]);
}

/// Guards against input that changes anything but what its error says.
#[test_case("", b"{}", Err(Error::NoDomain), false ; "no domain")]
#[test_case("east", b"", Err(Error::NotAnObject), false ; "an empty value")]
#[test_case("east", b"{", Err(Error::NotAnObject), false ; "a part of an object")]
#[test_case("east", b"[]", Err(Error::NotAnObject), false ; "a list")]
#[test_case("east", b"true", Err(Error::NotAnObject), false ; "a flag")]
#[test_case("east", b"\xff", Err(Error::NotAnObject), false ; "bytes that are no text")]
#[test_case("east", b"{}", Ok(()), true ; "an empty object")]
#[test_case("east", b" {\"a\": 1, \"b\": {}} ", Err(Error::UnknownFields("a, b".into())), true ; "fields")]
fn a_request_is_read(domain: &str, value: &[u8], result: Result<(), Error>, applies: bool) {
    let mut requests = EvacuationRequests::default();
    requests.put("west", b"{}", 3).expect("a request");
    let read = requests.put(domain, value, 9);
    if let Err(error) = &read {
        assert!(error.to_string().contains("write"), "the remedy is named: {error}");
    }
    assert_eq!(read, result);
    assert_eq!(requests.domains().get(domain), applies.then_some(&9));
    assert_eq!(requests.domains().get("west"), Some(&3));
}

/// Guards against an invalid value that ends the earlier request under its key.
#[test]
fn an_invalid_value_leaves_the_earlier_request_in_effect() {
    let mut requests = EvacuationRequests::default();
    requests.put("east", b"{}", 3).expect("a request");
    assert_eq!(requests.put("east", b"7", 4), Err(Error::NotAnObject));
    assert_eq!(requests.put("east", b"7", 4), Ok(()), "an error is returned once");
    assert_eq!(requests.put("east", b"8", 5), Err(Error::NotAnObject));
    requests.retain(&["east"]);
    assert_eq!(requests.domains().get("east"), Some(&3));
    requests.retain(&[]);
    assert!(requests.domains().is_empty());
    requests.put("east", b"{}", 6).expect("a request");
    requests.withdraw("east");
    assert!(requests.domains().is_empty());
}
