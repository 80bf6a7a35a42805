//! Time of one choice among many targets.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotflow_core::class::Class;
use shallotflow_core::time::Time;
use shallotflow_policy::route::{Load, Query, Settings, Table, Target};
use std::hint::black_box;

const SIZES: [u32; 3] = [1_000, 5_000, 21_000];
const DOMAINS: u32 = 15;
const NOW: Time = Time::from_millis(1_000);

/// Creates a table of targets that serve the same kind, each with a random load.
fn table(size: u32) -> Table {
    let mut table = Table::new(Settings::default(), "domain-0".into());
    let mut rng = SmallRng::seed_from_u64(7);
    for number in 0..size {
        let id = table.announce(Target {
            worker: format!("worker-{number}").into(),
            domain: format!("domain-{}", number % DOMAINS).into(),
            address: ([127, 0, 0, 1], 1_000).into(),
            kinds: vec!["preview".into()],
        });
        let load = Load {
            running: rng.random_range(0..8),
            queued: rng.random_range(0..4),
            slots: 8,
            service_us: rng.random_range(5_000..20_000),
            disturbance_milli: 1_000,
        };
        table.observe(NOW, id, load);
    }
    table
}

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route::choose");
    for size in SIZES {
        let table = table(size);
        let mut rng = SmallRng::seed_from_u64(7);
        let query = Query { kind: "preview", class: Class::Quick, tried: &[] };
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(table.choose(NOW, &query, &mut rng)));
        });
    }
    group.finish();
}

fn choose_and_count(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route::choose, sent and answered");
    for size in SIZES {
        let mut table = table(size);
        let mut rng = SmallRng::seed_from_u64(7);
        let query = Query { kind: "preview", class: Class::Quick, tried: &[] };
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                let Some(choice) = table.choose(NOW, &query, &mut rng) else { return };
                table.begin_request(NOW, choice.id, Class::Quick);
                table.end_request(choice.id, Class::Quick);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choose, choose_and_count);
criterion_main!(benches);
