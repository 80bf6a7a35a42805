//! Batch jobs through entries, a store and agents: recorded once, run once, taken over.

mod fleet;

use fleet::{Agent, Entry, job, run};
use futures_util::future::join_all;
use shallotflow_core::job::Spec;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::Code;
use shallotflow_wire::proto::TaskPhase;
use std::time::Duration;

#[test]
fn a_job_is_recorded_granted_and_its_end_recorded() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (record, created) = client.insist("1", &job("guild")).await;
        assert!(created);
        assert_eq!(record.state.as_str(), "queued");
        let mut agent = Agent::new("w", entry.client());
        agent.hold(1).await;
        assert_eq!(client.wait(&record.id, "started").await.attempts, 1);
        agent.set(TaskPhase::Done, "");
        agent.hold(0).await;
        client.wait(&record.id, "done").await;
        assert_eq!(agent.granted.len(), 1);
    });
}

#[test]
fn a_second_submission_finds_the_first_and_another_specification_is_refused() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (first, _) = client.insist("1", &job("guild")).await;
        let (second, created) = client.submit("1", &job("guild")).await.expect("the same job");
        assert_eq!((second.id, created), (first.id, false));
        let other = Spec { priority: 9, ..job("guild") };
        let problem = client.submit("1", &other).await.expect_err("another specification");
        assert_eq!((problem.code, problem.outcome), (Code::KeyReused, Outcome::NotRun));
    });
}

#[test]
fn jobs_are_reached_through_any_entry() {
    run(async |store| {
        let (a, b) = (Entry::start("a", &store), Entry::start("b", &store));
        for key in 0..8 {
            let key = key.to_string();
            let (record, _) = a.client().insist(&key, &job("guild")).await;
            let found = b.client().wait(&record.id, "queued").await;
            assert_eq!(found, record);
            let (_, created) = b.client().insist(&key, &job("guild")).await;
            assert!(!created, "{key}");
        }
    });
}

#[test]
fn a_killed_owner_is_followed_and_what_ran_runs_once() {
    run(async |store| {
        let mut a = Entry::start("a", &store);
        let (record, _) = a.client().insist("1", &job("guild")).await;
        let mut agent = Agent::new("w", a.client());
        agent.hold(1).await;
        a.kill();
        let b = Entry::start("b", &store);
        agent.turn_to(b.client());
        while agent.report().await.owned.is_empty() {}
        let found = b.client().wait(&record.id, "started").await;
        assert_eq!(found.attempts, 1);
        agent.set(TaskPhase::Done, "");
        agent.hold(0).await;
        b.client().wait(&record.id, "done").await;
        assert_eq!(agent.granted.len(), 1);
    });
}

#[test]
fn a_graceful_owner_hands_its_ledgers_over_at_once() {
    run(async |store| {
        let mut a = Entry::start("a", &store);
        let (record, _) = a.client().insist("1", &job("guild")).await;
        let b = Entry::start("b", &store);
        a.leave();
        assert_eq!(b.client().wait(&record.id, "queued").await, record);
    });
}

#[test]
fn a_lost_worker_makes_a_job_unknown_unless_it_may_run_again() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (once, _) = client.insist("1", &job("guild")).await;
        let (again, _) = client.insist("2", &Spec { idempotent: true, ..job("guild") }).await;
        let mut agent = Agent::new("w", entry.client());
        agent.hold(2).await;
        agent.report().await;
        agent.reboot();
        agent.report().await;
        client.wait(&once.id, "unknown").await;
        agent.hold(1).await;
        assert_eq!(client.wait(&again.id, "started").await.attempts, 2);
    });
}

#[test]
fn a_silent_worker_is_given_up_after_its_lease() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let (record, _) = entry.client().insist("1", &job("guild")).await;
        Agent::new("w", entry.client()).hold(1).await;
        entry.client().wait(&record.id, "unknown").await;
    });
}

#[test]
fn an_evicted_job_resumes_once_from_its_checkpoint() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let (record, _) = entry.client().insist("1", &job("guild")).await;
        let mut agent = Agent::new("w", entry.client());
        agent.hold(1).await;
        agent.set(TaskPhase::Evicted, "half");
        while agent.granted.len() < 2 {
            agent.report().await;
        }
        assert_eq!(agent.granted[1].checkpoint, "half");
        agent.set(TaskPhase::Done, "");
        agent.hold(0).await;
        let found = entry.client().wait(&record.id, "done").await;
        assert_eq!((found.attempts, agent.granted.len()), (2, 2));
    });
}

#[test]
fn a_cancelled_job_never_starts_and_a_running_one_is_stopped() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (running, _) = client.insist("1", &job("guild")).await;
        let mut agent = Agent::new("w", entry.client());
        agent.hold(1).await;
        let (waiting, _) = client.insist("2", &job("guild")).await;
        let cancelled = client.cancel(&waiting.id).await.expect("a recorded job");
        assert_eq!(cancelled.state.as_str(), "cancelled");
        client.cancel(&running.id).await.expect("a recorded job");
        let reply = agent.report().await;
        assert_eq!((reply.grants.len(), reply.stops.len()), (0, 1));
        agent.set(TaskPhase::Stopped, "");
        agent.hold(0).await;
        client.wait(&running.id, "cancelled").await;
        assert_eq!(agent.granted.len(), 1);
    });
}

#[test]
fn a_submission_during_an_outage_is_refused_as_not_run() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        client.insist("1", &job("guild")).await;
        store.faults.set_down(true);
        monoio::time::sleep(Duration::from_secs(1)).await;
        let problem = client.submit("2", &job("guild")).await.expect_err("no store");
        assert_eq!((problem.code, problem.outcome), (Code::StoreUnavailable, Outcome::NotRun));
        store.faults.set_down(false);
        let (_, created) = client.insist("2", &job("guild")).await;
        assert!(created);
    });
}

#[test]
fn lost_answers_neither_lose_nor_double_a_job() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        client.insist("warm", &job("guild")).await;
        store.faults.set_lost_answers(0.5);
        let mut ids = Vec::new();
        for key in 0..10 {
            ids.push(client.insist(&key.to_string(), &job("guild")).await.0.id);
        }
        let mut agent = Agent::new("w", entry.client());
        for id in &ids {
            while client.read(id).await.is_ok_and(|record| !record.state.is_final()) {
                agent.report().await;
                agent.set(TaskPhase::Done, "");
            }
            client.wait(id, "done").await;
        }
        assert_eq!(agent.granted.len(), 11);
    });
}

#[test]
fn a_wave_of_jobs_and_of_cancellations_takes_few_writes() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        client.insist("warm", &job("guild")).await;
        let before = store.counters.read();
        let keys: Vec<String> = (0..200).map(|key| key.to_string()).collect();
        let spec = job("guild");
        let submitted = join_all(keys.iter().map(|key| client.submit(key, &spec))).await;
        let records: Vec<_> =
            submitted.into_iter().map(|result| result.expect("a recorded job").0).collect();
        let created = store.counters.read().since(&before);
        assert!(created.writes < 50, "{created:?} for {} jobs", records.len());
        let before = store.counters.read();
        let cancelled = join_all(records.iter().map(|record| client.cancel(&record.id))).await;
        for result in cancelled {
            assert_eq!(result.expect("a recorded job").state.as_str(), "cancelled");
        }
        let ended = store.counters.read().since(&before);
        assert!(ended.writes < 50, "{ended:?} for {} jobs", records.len());
        println!("{} jobs: created {created:?}, cancelled {ended:?}", records.len());
    });
}

#[test]
fn a_long_outage_neither_loses_nor_doubles_what_ran() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (record, _) = client.insist("1", &job("guild")).await;
        let mut agent = Agent::new("w", entry.client());
        agent.hold(1).await;
        store.faults.set_down(true);
        while !agent.report().await.owned.is_empty() {}
        agent.set(TaskPhase::Lapsed, "half");
        store.faults.set_down(false);
        while agent.granted.len() < 2 {
            agent.report().await;
        }
        assert_eq!(agent.granted[1].checkpoint, "half");
        agent.set(TaskPhase::Done, "");
        agent.hold(0).await;
        assert_eq!(client.wait(&record.id, "done").await.attempts, 2);
    });
}

#[test]
fn a_busy_owner_hands_surplus_ledgers_to_a_new_entry() {
    run(async |store| {
        let a = Entry::start("a", &store);
        let client = a.client();
        client.insist("warm", &job("guild")).await;
        let b = Entry::start("b", &store);
        let mut agent = Agent::new("w", b.client());
        let mut key = 0;
        while agent.report().await.owned.len() < 2 {
            let keys: Vec<String> = (key..key + 20).map(|key| key.to_string()).collect();
            let spec = job("guild");
            join_all(keys.iter().map(|key| client.insist(key, &spec))).await;
            key += 20;
        }
        let (record, _) = client.insist("after", &job("guild")).await;
        assert_eq!(b.client().wait(&record.id, record.state.as_str()).await.id, record.id);
    });
}
