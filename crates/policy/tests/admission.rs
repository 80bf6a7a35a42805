//! Tests of admission against a naive model of running and waiting work.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_core::class::Class;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::admission::{Command, Id, Refusal, Settings, Table, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;

const CAPACITY: Bundle =
    Bundle { slots: 4, connections: 6, millicores: 4_000, memory_mib: 1_000, accelerators: 1 };

fn settings() -> Settings {
    Settings { quick_queue: 4, watch_queue: 3, batch_queue: 3, watch_connections: 2, passes: 2 }
}

/// An event at a worker.
#[derive(Clone, Debug)]
enum Step {
    Offer {
        class: Class,
        need: Bundle,
        timeout_ms: u64,
    },
    /// The end of running work, selected by its index in the order of identifiers.
    Release(usize),
    Resize {
        index: usize,
        memory_mib: u32,
    },
    Wait {
        ms: u64,
        reserve_slots: u32,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let class = prop_oneof![Just(Class::Quick), Just(Class::Watch), Just(Class::Batch)];
    let need = (0..=2_u32, 0..=2_u32, 0..3_000_u32, 0..700_u32, 0..=1_u32).prop_map(
        |(slots, connections, millicores, memory_mib, accelerators)| Bundle {
            slots,
            connections,
            millicores,
            memory_mib,
            accelerators,
        },
    );
    let offer = (class, need, 1..50_u64).prop_map(|(class, need, timeout_ms)| Step::Offer {
        class,
        need,
        timeout_ms,
    });
    let wait =
        (0..20_u64, 0..=2_u32).prop_map(|(ms, reserve_slots)| Step::Wait { ms, reserve_slots });
    let resize =
        (0..8_usize, 0..900_u32).prop_map(|(index, memory_mib)| Step::Resize { index, memory_mib });
    let step =
        prop_oneof![4 => offer, 3 => (0..8_usize).prop_map(Step::Release), 1 => resize, 3 => wait];
    prop::collection::vec(step, 1..80)
}

/// A model that keeps the work in a list and searches it from the start each time.
#[derive(Default)]
struct Model {
    running: BTreeMap<Id, Ticket>,
    waiting: Vec<(Ticket, u32)>,
}

impl Model {
    fn used(&self, only: Option<Class>) -> Bundle {
        let chosen =
            self.running.values().filter(|ticket| only.is_none_or(|class| ticket.class == class));
        chosen.fold(Bundle::default(), |sum, ticket| sum.plus(&ticket.need))
    }

    fn fits(&self, ticket: &Ticket, reserve: &Bundle) -> bool {
        let mut taken = self.used(None);
        if ticket.class == Class::Batch {
            let quick = self.used(Some(Class::Quick));
            taken = taken.plus(&reserve.minus(&quick));
        }
        let watched = self.used(Some(Class::Watch)).connections + ticket.need.connections;
        let within_cap = ticket.class != Class::Watch || watched <= settings().watch_connections;
        // A resource that is over capacity does not block work that does not need it.
        let free = |capacity: u32, taken: u32, need: u32| need == 0 || taken + need <= capacity;
        let need = &ticket.need;
        let within_cap = within_cap || need.connections == 0;
        within_cap
            && free(CAPACITY.slots, taken.slots, need.slots)
            && free(CAPACITY.connections, taken.connections, need.connections)
            && free(CAPACITY.millicores, taken.millicores, need.millicores)
            && free(CAPACITY.memory_mib, taken.memory_mib, need.memory_mib)
            && free(CAPACITY.accelerators, taken.accelerators, need.accelerators)
    }

    fn tick(&mut self, now: Time, reserve: &Bundle) -> (Vec<Id>, Vec<Id>) {
        let (mut started, mut refused) = (Vec::new(), Vec::new());
        for class in [Class::Quick, Class::Watch, Class::Batch] {
            let mut queue: Vec<(Ticket, u32)> = Vec::new();
            self.waiting.retain(|entry| {
                if entry.0.class == class {
                    queue.push(entry.clone());
                }
                entry.0.class != class
            });
            queue.sort_by_key(|(ticket, _)| (ticket.deadline, ticket.id));
            refused.extend(queue.iter().filter(|(t, _)| t.deadline <= now).map(|(t, _)| t.id));
            queue.retain(|(ticket, _)| ticket.deadline > now);
            while let Some(index) = self.next(&queue, reserve) {
                queue[..index].iter_mut().for_each(|(_, passed)| *passed += 1);
                let (ticket, _) = queue.remove(index);
                started.push(ticket.id);
                self.running.insert(ticket.id, ticket);
            }
            self.waiting.append(&mut queue);
        }
        (started, refused)
    }

    fn next(&self, queue: &[(Ticket, u32)], reserve: &Bundle) -> Option<usize> {
        for (index, (ticket, passed)) in queue.iter().enumerate() {
            if self.fits(ticket, reserve) {
                return Some(index);
            }
            if *passed >= settings().passes {
                return None;
            }
        }
        None
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn starts_and_refuses_like_the_model(steps in steps()) {
        let mut table = Table::new(settings(), CAPACITY);
        let mut model = Model::default();
        let mut now = Time::from_millis(1_000);
        let mut has_grown = false;
        for (number, step) in (1..).zip(steps) {
            match step {
                Step::Offer { class, need, timeout_ms } => {
                    let deadline = now.after(Duration::from_millis(timeout_ms));
                    let ticket = Ticket { id: Id(number), class, need, deadline, offered: now };
                    if table.offer(ticket.clone(), Duration::ZERO, now).is_ok() {
                        model.waiting.push((ticket, 0));
                    }
                }
                Step::Release(index) => {
                    let Some(id) = model.running.keys().nth(index).copied() else { continue };
                    model.running.remove(&id);
                    prop_assert_eq!(table.release(id).map(|ticket| ticket.id), Some(id));
                }
                Step::Resize { index, memory_mib } => {
                    let Some((&id, ticket)) = model.running.iter_mut().nth(index) else { continue };
                    has_grown |= memory_mib > ticket.need.memory_mib;
                    ticket.need.memory_mib = memory_mib;
                    table.resize_work(id, ticket.need);
                }
                Step::Wait { ms, reserve_slots } => {
                    now = now.after(Duration::from_millis(ms));
                    let reserve = Bundle { slots: reserve_slots, ..Bundle::default() };
                    let (mut started, mut refused) = (Vec::new(), Vec::new());
                    for command in table.tick(now, &reserve) {
                        match command {
                            Command::Start(ticket) => started.push(ticket.id),
                            Command::Refuse(ticket, _) => refused.push(ticket.id),
                        }
                    }
                    prop_assert_eq!((started, refused), model.tick(now, &reserve));
                }
            }
            prop_assert_eq!(table.used(), model.used(None));
            // Reservations exceed the capacity only after the measured usage of running work has
            // grown.
            prop_assert!(has_grown || CAPACITY.holds(&table.used()));
        }
    }
}

fn ticket(id: u64, class: Class, deadline_ms: u64) -> Ticket {
    let need = Bundle { slots: 1, connections: 1, ..Bundle::default() };
    let (deadline, offered) = (Time::from_millis(deadline_ms), Time::from_millis(1));
    Ticket { id: Id(id), class, need, deadline, offered }
}

#[test]
fn quick_work_does_not_wait_behind_batch_work() {
    let now = Time::from_millis(1);
    let mut table = Table::new(settings(), CAPACITY);
    for id in 1..=3 {
        table.offer(ticket(id, Class::Batch, 10_000), Duration::ZERO, now).expect("room to wait");
    }
    table.offer(ticket(9, Class::Quick, 100), Duration::ZERO, now).expect("room to wait");
    let reserve = Bundle { slots: 3, ..Bundle::default() };
    let commands = table.tick(now, &reserve);
    assert_eq!(commands[0], Command::Start(ticket(9, Class::Quick, 100)));
    assert_eq!(commands.len(), 2);
}

#[test]
fn refuses_work_that_cannot_start_before_its_deadline_at_once() {
    let now = Time::from_millis(1);
    let mut table = Table::new(settings(), CAPACITY);
    for id in 1..=4 {
        table.offer(ticket(id, Class::Quick, 1_000), Duration::ZERO, now).expect("room to wait");
    }
    table.tick(now, &Bundle::default());
    let service = Duration::from_millis(100);
    let late = table.offer(ticket(5, Class::Quick, 40), service, now);
    assert!(matches!(late, Err(Refusal::TooLate { .. })));
    table.offer(ticket(6, Class::Quick, 80), service, now).expect("a wait of half a service time");
}

#[test]
fn a_leaving_worker_refuses_waiting_work() {
    let now = Time::from_millis(1);
    let mut table = Table::new(settings(), CAPACITY);
    table.offer(ticket(1, Class::Watch, 1_000), Duration::ZERO, now).expect("room to wait");
    table.leave();
    let refused = Command::Refuse(ticket(1, Class::Watch, 1_000), Refusal::Leaving);
    assert_eq!(table.tick(now, &Bundle::default()), vec![refused]);
    assert_eq!(table.offer(ticket(2, Class::Quick, 9), Duration::ZERO, now), Err(Refusal::Leaving));
}

#[test]
fn quick_shortage_excludes_resources_that_running_quick_work_releases_soon() {
    let now = Time::from_millis(1);
    let mut table = Table::new(settings(), CAPACITY);
    table.offer(ticket(1, Class::Quick, 1_000), Duration::ZERO, now).expect("room to wait");
    for id in 2..=4 {
        table.offer(ticket(id, Class::Batch, 1_000), Duration::ZERO, now).expect("room to wait");
    }
    table.tick(now, &Bundle::default());
    table.offer(ticket(5, Class::Quick, 1_000), Duration::ZERO, now).expect("room to wait");
    assert_eq!(table.quick_shortage().slots, 0, "the running request releases its slot soon");
    table.offer(ticket(6, Class::Quick, 1_000), Duration::ZERO, now).expect("room to wait");
    assert_eq!(table.quick_shortage().slots, 1);
}
