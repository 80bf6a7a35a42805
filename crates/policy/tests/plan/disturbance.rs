//! Best-effort tasks on workers with serving tasks.

use super::harness::{Harness, id, job, name, step, task, whole};
use shallotflow_core::graph::{Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_policy::disturbance::{Rates, Sample};
use shallotflow_policy::plan::message::ExitReason;
use std::f64::consts::TAU;
use std::time::Duration;

fn serving(count: u32, image: &str) -> Step {
    Step {
        long_running: true,
        target_ms: 100,
        image: Some(Name::from(image)),
        ..step(count, 4_000)
    }
}

fn best_effort(count: u32, image: &str) -> Step {
    Step { best_effort: true, image: Some(Name::from(image)), ..step(count, 2_000) }
}

#[test]
fn serving_tasks_of_one_image_are_packed() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![serving(2, "watch")]), true, harness.now);
    harness.table.accept(id(2), job(vec![serving(2, "match")]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker_of(task(1, 0, 0)), harness.worker_of(task(1, 0, 1)));
    assert_eq!(harness.worker_of(task(2, 0, 0)), harness.worker_of(task(2, 0, 1)));
    assert_ne!(harness.worker_of(task(1, 0, 0)), harness.worker_of(task(2, 0, 0)));
}

#[test]
fn best_effort_tasks_reserve_no_processors() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![serving(2, "watch")]), true, harness.now);
    harness.table.accept(id(2), job(vec![best_effort(2, "render")]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 4);
}

#[test]
fn a_disturbing_task_goes_to_a_worker_without_serving_tasks() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![serving(2, "watch")]), true, harness.now);
    harness.run_round();
    let serving_worker = harness.worker_of(task(1, 0, 0)).expect("a run");
    // The worker reports a missed target whenever the render runs on it.
    harness.table.accept(id(2), job(vec![best_effort(1, "render")]), true, harness.now);
    let neighbor = task(2, 0, 0);
    harness.run_round();
    let worker = harness.workers.get_mut(&name(serving_worker)).expect("a worker");
    for _ in 0..20 {
        for run in worker.running.values_mut() {
            (run.percent, run.measurement) = (100, 250);
        }
        if let Some(run) = worker.running.get_mut(&neighbor) {
            run.measurement = 2_000;
        }
    }
    let learn_rates = |harness: &mut Harness| {
        for _ in 0..20 {
            let worker = harness.workers.get_mut(&name(serving_worker)).expect("a worker");
            let mut report = worker.report(&name(serving_worker), 1);
            let mut runs = report.running.take().expect("a list").into_rows();
            runs.retain(|run| run.task != neighbor);
            let run = |measurement, task| shallotflow_policy::plan::message::Run {
                task,
                run: 1,
                checkpoint: None,
                percent: 100,
                measurement,
                pace: 100,
            };
            runs.push(run(2_000, neighbor));
            report.running = whole(runs);
            harness.table.apply_report(report, harness.now);
            harness.wait(Duration::from_millis(10));
        }
    };
    learn_rates(&mut harness);
    // Whatever the learned rates, a free worker is preferred to one with a victim.
    harness.report_all();
    harness.table.accept(id(3), job(vec![best_effort(1, "render")]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker_of(task(3, 0, 0)), Some(1 - serving_worker));
}

#[test]
fn rates_distinguish_a_disturbing_neighbor_from_a_harmless_one() {
    let (victim, disturbing, harmless) =
        (Name::from("watch"), Name::from("proof"), Name::from("cut"));
    let mut rates = Rates::default();
    // The latency of a queue: its reciprocal falls with the load.
    let measure = |round: u32| {
        let disturbing_share = f64::from(round % 3) * 0.1;
        let harmless_share = f64::from(round % 4) * 0.1;
        let neighbors =
            [(disturbing.clone(), disturbing_share), (harmless.clone(), harmless_share)];
        (neighbors, 1.0 / (1.0 / 0.4 - 6.0 * disturbing_share))
    };
    for round in 0..400 {
        let ((neighbors, ratio), (later, later_ratio)) = (measure(round), measure(round + 1));
        let before = Sample { ratio, neighbors: &neighbors };
        let after = Sample { ratio: later_ratio, neighbors: &later };
        rates.learn_change(&victim, &before, &after);
    }
    assert!((rates.base(&victim) - 0.4).abs() < 0.1, "{}", rates.base(&victim));
    assert!((rates.added(&victim, &disturbing) - 6.0).abs() < 0.5);
    assert!(rates.added(&victim, &harmless) < 0.5);
}

#[test]
fn rates_ignore_invalid_measurements() {
    let victim = Name::from("watch");
    let mut rates = Rates::default();
    let before = rates.base(&victim);
    for measurement in [f64::NAN, f64::INFINITY, -1.0] {
        rates.learn(&victim, &Sample { ratio: measurement, neighbors: &[] });
    }
    assert!((rates.base(&victim) - before).abs() < f64::EPSILON);
}

#[test]
fn a_new_owner_places_by_the_rates_of_its_predecessor() {
    let mut learned = Rates::default();
    learned.set(&"watch".into(), Some(&"proof".into()), 6.0);
    learned.set(&"watch".into(), Some(&"cut".into()), 0.01);
    let mut harness = Harness::new(2);
    harness.table.restore_rates(learned);
    harness.table.accept(id(1), job(vec![serving(2, "watch")]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(2), job(vec![best_effort(1, "proof")]), true, harness.now);
    harness.run_round();
    assert_ne!(harness.worker_of(task(2, 0, 0)), harness.worker_of(task(1, 0, 0)));
}

#[test]
fn rates_are_kept_only_for_images_in_use() {
    let mut learned = Rates::default();
    learned.set(&"watch".into(), None, 0.3);
    learned.set(&"watch".into(), Some(&"proof".into()), 6.0);
    learned.set(&"watch".into(), Some(&"gone".into()), 6.0);
    learned.set(&"left".into(), Some(&"proof".into()), 6.0);
    let mut harness = Harness::new(1);
    harness.table.restore_rates(learned);
    harness.table.accept(
        id(1),
        job(vec![serving(1, "watch"), best_effort(1, "proof")]),
        true,
        harness.now,
    );
    let kept = harness.table.learned_rates();
    assert!((kept.base("watch") - 0.3).abs() < f64::EPSILON);
    assert!((kept.added("watch", "proof") - 6.0).abs() < f64::EPSILON);
    assert!(kept.added("watch", "gone").abs() < f64::EPSILON);
    assert!(kept.added("left", "proof").abs() < f64::EPSILON);
}

/// Creates three workers, two of them with a serving task, and rates that tell `proof`, which
/// interferes strongly, from `cut`, which hardly does.
fn with_one_vacant_worker() -> Harness {
    let mut learned = Rates::default();
    learned.set(&"watch".into(), Some(&"proof".into()), 6.0);
    learned.set(&"watch".into(), Some(&"cut".into()), 0.01);
    let mut harness = Harness::new(3);
    harness.table.restore_rates(learned);
    let watch = Step { per_worker: 1, ..serving(2, "watch") };
    harness.table.accept(id(1), job(vec![watch]), true, harness.now);
    harness.run_round();
    harness
}

/// Returns the index of the worker without a serving task.
fn vacant_worker(harness: &Harness) -> usize {
    let serving = [task(1, 0, 0), task(1, 0, 1)].map(|task| harness.worker_of(task));
    (0..3).find(|worker| !serving.contains(&Some(*worker))).expect("a vacant worker")
}

#[test]
fn an_image_that_does_not_interfere_leaves_vacant_workers_to_one_that_does() {
    let mut harness = with_one_vacant_worker();
    let vacant = vacant_worker(&harness);
    harness.table.accept(id(2), job(vec![best_effort(2, "cut")]), true, harness.now);
    harness.run_round();
    let places = [task(2, 0, 0), task(2, 0, 1)].map(|task| harness.worker_of(task));
    assert!(!places.contains(&Some(vacant)), "{places:?}");
    harness.table.accept(id(3), job(vec![best_effort(5, "proof")]), true, harness.now);
    harness.run_round();
    for index in 0..5 {
        assert_eq!(harness.worker_of(task(3, 0, index)), Some(vacant), "task {index}");
    }
}

#[test]
fn an_image_that_does_not_interfere_uses_vacant_workers_once_the_others_are_busy() {
    let mut harness = with_one_vacant_worker();
    let vacant = vacant_worker(&harness);
    harness.table.accept(id(2), job(vec![best_effort(10, "cut")]), true, harness.now);
    harness.run_round();
    let running = harness.running();
    assert_eq!(running.len(), 12, "every task starts");
    assert!(running.iter().any(|task| harness.worker_of(*task) == Some(vacant)));
}

#[test]
fn an_unknown_image_counts_as_interfering() {
    let mut harness = with_one_vacant_worker();
    let vacant = vacant_worker(&harness);
    harness.table.accept(id(2), job(vec![best_effort(1, "new")]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker_of(task(2, 0, 0)), Some(vacant));
}

/// Four workers with a serving task each, and an image that would make them miss their targets.
fn crowded(serving_millicores: u32) -> Harness {
    let mut learned = Rates::default();
    learned.set(&"watch".into(), None, 0.4);
    learned.set(&"watch".into(), Some(&"proof".into()), 20.0);
    let mut harness = Harness::new(4);
    harness.table.restore_rates(learned);
    let step = Step { per_worker: 1, ..serving(4, "watch") };
    let step = Step { need: Bundle { millicores: serving_millicores, ..step.need }, ..step };
    harness.table.accept(id(1), job(vec![step]), true, harness.now);
    harness.table.accept(id(2), job(vec![best_effort(3, "proof")]), true, harness.now);
    harness
}

fn running_proofs(harness: &Harness) -> usize {
    harness.running().iter().filter(|running| running.job == id(2)).count()
}

#[test]
fn a_job_of_which_nothing_runs_does_not_wait_for_a_quiet_worker_while_half_of_the_processors_idle()
{
    let mut harness = crowded(4_000);
    let waited = (0..30).any(|_| {
        harness.run_round();
        harness.wait(Duration::from_millis(100));
        running_proofs(&harness) > 0
    });
    assert!(waited, "nothing runs after 3 s");
    // The others wait for a worker where they do not interfere.
    harness.wait(Duration::from_secs(1));
    harness.report_all();
    harness.run_round();
    assert_eq!(running_proofs(&harness), 1);
}

#[test]
fn a_job_waits_for_a_quiet_worker_while_most_processors_are_in_use() {
    let mut harness = crowded(6_000);
    for _ in 0..30 {
        harness.run_round();
        harness.wait(Duration::from_millis(100));
    }
    assert_eq!(running_proofs(&harness), 0);
}

/// Guards against a model that many images of one caller fill, and that learns nothing of later ones.
#[test]
fn a_full_model_learns_of_a_later_image() {
    let mut rates = Rates::default();
    let untouched = rates.base("late");
    for number in 0..1_500 {
        let image = Name::from(format!("image-{number}"));
        rates.learn(&image, &Sample { ratio: 0.5, neighbors: &[] });
    }
    for _ in 0..20 {
        let neighbors = [("beside".into(), 0.5)];
        rates.learn(&"late".into(), &Sample { ratio: 2.0, neighbors: &neighbors });
    }
    assert!(rates.base("late") > untouched);
    assert!(rates.added("late", "beside") > 0.0);
}

/// Time between two reports of a worker's measurements, milliseconds.
const REPORT_MS: u64 = 450;
/// Tail latency of an idle service as a share of its target.
const IDLE_RATIO: f64 = 0.2;
/// Load of a service at the mean, and how far it swings, as a share of it.
const SERVICE_LOAD: (f64, f64) = (0.45, 0.5);
/// Load that `proof` adds to a service if it uses a whole worker; `cut` adds none.
const PROOF_LOAD: f64 = 1.0;
/// What a harmless image may seem to add: a task of a tenth of a worker then stays within the
/// tolerated excess of 0.05.
const HARMLESS: f64 = 0.5;

/// Lets each worker measure its service, whose latency grows as that of a queue and whose load swings within
/// 14 s, beside what runs there. The runs of `cut` and `proof` last for five reports.
fn measure(harness: &mut Harness, round: u64) {
    for number in 0..harness.workers.len() {
        let (mean, swing) = SERVICE_LOAD;
        let phase = (round * REPORT_MS) as f64 / 14_000.0 + number as f64 * 0.37;
        let is_proof = |task: &Task| task.job.0 >= 100 && task.job.0 % 2 == 1;
        let worker = harness.worker(number);
        let proofs = worker.running.keys().filter(|task| is_proof(task)).count() as f64;
        let load = mean * (1.0 + swing * (TAU * phase).sin()) + proofs * 0.2 * PROOF_LOAD;
        let ratio = IDLE_RATIO / (1.0 - load.min(0.95));
        let mut ended = Vec::new();
        for (task, run) in &mut worker.running {
            run.percent = (run.percent + 20).min(100);
            run.measurement = if task.job == id(1) { (ratio * 100.0) as u32 } else { 2_000 };
            if task.job == id(1) {
                run.percent = 100;
            } else if run.percent == 100 {
                ended.push(*task);
            }
        }
        for task in ended {
            worker.end(task, ExitReason::Done);
        }
    }
}

#[test]
fn a_swinging_load_is_not_learned_as_the_effect_of_a_harmless_neighbor() {
    let mut harness = Harness::new(12);
    let watch = Step { per_worker: 1, ..serving(12, "watch") };
    harness.table.accept(id(1), job(vec![watch]), true, harness.now);
    harness.run_round();
    let mut highest: f64 = 0.0;
    for round in 0..120 {
        let image = if round % 2 == 1 { "proof" } else { "cut" };
        harness.table.accept(id(100 + round), job(vec![best_effort(3, image)]), true, harness.now);
        harness.wait(Duration::from_millis(REPORT_MS));
        measure(&mut harness, round);
        harness.run_round();
        if round >= 40 {
            highest = highest.max(harness.table.rates().added("watch", "cut"));
        }
    }
    let proof = harness.table.rates().added("watch", "proof");
    println!("cut {highest:.2} at most, proof {proof:.2} at the end");
    assert!(highest < HARMLESS, "{highest:.2}");
    assert!(proof > 4.0 * HARMLESS, "{proof:.2}");
}
