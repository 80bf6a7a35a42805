//! Tasks that fill beside tasks that serve.

use super::floor::{Floor, id, job, name, step, task};
use shallotflow_core::graph::Step;
use shallotflow_core::name::Name;
use shallotflow_policy::disturbance::Rates;
use std::time::Duration;

fn serving(count: u32, image: &str) -> Step {
    Step {
        long_running: true,
        target_ms: 100,
        image: Some(Name::from(image)),
        ..step(count, 4_000)
    }
}

fn filling(count: u32, image: &str) -> Step {
    Step { best_effort: true, image: Some(Name::from(image)), ..step(count, 2_000) }
}

#[test]
fn serving_tasks_of_one_image_are_kept_together() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![serving(2, "watch")]), true, floor.now);
    floor.table.accept(id(2), job(vec![serving(2, "match")]), true, floor.now);
    floor.turn();
    assert_eq!(floor.place_of(task(1, 0, 0)), floor.place_of(task(1, 0, 1)));
    assert_eq!(floor.place_of(task(2, 0, 0)), floor.place_of(task(2, 0, 1)));
    assert_ne!(floor.place_of(task(1, 0, 0)), floor.place_of(task(2, 0, 0)));
}

#[test]
fn tasks_that_fill_take_no_processors_from_the_worker_s_room() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![serving(2, "watch")]), true, floor.now);
    floor.table.accept(id(2), job(vec![filling(2, "render")]), true, floor.now);
    floor.turn();
    assert_eq!(floor.running().len(), 4);
}

#[test]
fn a_task_that_harms_waits_for_a_worker_where_it_does_not() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![serving(2, "watch")]), true, floor.now);
    floor.turn();
    let served = floor.place_of(task(1, 0, 0)).expect("a run");
    // The worker lists a missed target whenever the render works beside it.
    floor.table.accept(id(2), job(vec![filling(1, "render")]), true, floor.now);
    let beside = task(2, 0, 0);
    floor.turn();
    let hand = floor.hands.get_mut(&name(served)).expect("a worker");
    for _ in 0..20 {
        for run in hand.running.values_mut() {
            (run.percent, run.measurement) = (100, 250);
        }
        if let Some(run) = hand.running.get_mut(&beside) {
            run.measurement = 2_000;
        }
    }
    let rates_of = |floor: &mut Floor| {
        for _ in 0..20 {
            let hand = floor.hands.get_mut(&name(served)).expect("a worker");
            let mut report = hand.report(&name(served), 1);
            let mut rows = report.running.take().unwrap_or_default();
            rows.retain(|run| run.task != beside);
            let row = |figure, task| shallotflow_policy::plan::message::Run {
                task,
                run: 1,
                checkpoint: None,
                percent: 100,
                measurement: figure,
                pace: 100,
            };
            rows.push(row(2_000, beside));
            report.running = Some(rows);
            floor.table.apply_report(report, floor.now);
            floor.wait(Duration::from_millis(10));
        }
    };
    rates_of(&mut floor);
    // Whatever was learned, a free worker is taken rather than one with a victim.
    floor.report_all();
    floor.table.accept(id(3), job(vec![filling(1, "render")]), true, floor.now);
    floor.turn();
    assert_eq!(floor.place_of(task(3, 0, 0)), Some(1 - served));
}

#[test]
fn rates_tell_a_harmful_neighbor_from_a_harmless_one() {
    let (victim, harmful, harmless) = (Name::from("watch"), Name::from("proof"), Name::from("cut"));
    let mut rates = Rates::default();
    for round in 0..400 {
        let harmful_share = f64::from(round % 3) * 0.1;
        let harmless_share = f64::from(round % 4) * 0.1;
        let neighbors = [(harmful.clone(), harmful_share), (harmless.clone(), harmless_share)];
        rates.learn(&victim, &neighbors, 0.4 + 6.0 * harmful_share);
    }
    assert!((rates.base(&victim) - 0.4).abs() < 0.1, "{}", rates.base(&victim));
    assert!((rates.added(&victim, &harmful) - 6.0).abs() < 0.5);
    assert!(rates.added(&victim, &harmless) < 0.5);
}

#[test]
fn rates_drop_measures_that_mean_nothing() {
    let victim = Name::from("watch");
    let mut rates = Rates::default();
    let before = rates.base(&victim);
    for measure in [f64::NAN, f64::INFINITY, -1.0] {
        rates.learn(&victim, &[], measure);
    }
    assert!((rates.base(&victim) - before).abs() < f64::EPSILON);
}

#[test]
fn a_later_owner_places_by_what_a_former_one_learned() {
    let mut learned = Rates::default();
    learned.set(&"watch".into(), Some(&"proof".into()), 6.0);
    learned.set(&"watch".into(), Some(&"cut".into()), 0.01);
    let mut floor = Floor::new(2);
    floor.table.restore_rates(learned);
    floor.table.accept(id(1), job(vec![serving(2, "watch")]), true, floor.now);
    floor.turn();
    floor.table.accept(id(2), job(vec![filling(1, "proof")]), true, floor.now);
    floor.turn();
    assert_ne!(floor.place_of(task(2, 0, 0)), floor.place_of(task(1, 0, 0)));
}

#[test]
fn what_is_kept_for_a_later_owner_is_of_images_in_use() {
    let mut learned = Rates::default();
    learned.set(&"watch".into(), None, 0.3);
    learned.set(&"watch".into(), Some(&"proof".into()), 6.0);
    learned.set(&"watch".into(), Some(&"gone".into()), 6.0);
    learned.set(&"left".into(), Some(&"proof".into()), 6.0);
    let mut floor = Floor::new(1);
    floor.table.restore_rates(learned);
    floor.table.accept(id(1), job(vec![serving(1, "watch"), filling(1, "proof")]), true, floor.now);
    let kept = floor.table.learned_rates();
    assert!((kept.base("watch") - 0.3).abs() < f64::EPSILON);
    assert!((kept.added("watch", "proof") - 6.0).abs() < f64::EPSILON);
    assert!(kept.added("watch", "gone").abs() < f64::EPSILON);
    assert!(kept.added("left", "proof").abs() < f64::EPSILON);
}
