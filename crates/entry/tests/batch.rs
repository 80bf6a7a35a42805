//! Batch jobs with entries, a store and agents: idempotent submission, single execution, takeover
//! of ledgers.

mod fleet;

use fleet::{Agent, Entry, job, run};
use futures_util::future::join_all;
use shallotflow_core::job::Spec;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::Code;
use shallotflow_wire::proto::TaskPhase;
use std::time::Duration;

#[test]
fn a_job_is_recorded_granted_and_completed() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (record, created) = client.submit_until_recorded("1", &job("guild")).await;
        assert!(created);
        assert_eq!(record.state.as_str(), "queued");
        let mut agent = Agent::new("w", entry.client());
        agent.report_until_holding(1).await;
        assert_eq!(client.wait_for_state(&record.id, "started").await.attempts, 1);
        agent.set_phase(TaskPhase::Done, "");
        agent.report_until_holding(0).await;
        client.wait_for_state(&record.id, "done").await;
        assert_eq!(agent.granted.len(), 1);
    });
}

#[test]
fn a_second_submission_returns_the_first_job_and_another_specification_is_refused() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (first, _) = client.submit_until_recorded("1", &job("guild")).await;
        let (second, created) = client.submit("1", &job("guild")).await.expect("the first job");
        assert_eq!((second.id, created), (first.id, false));
        let other = Spec { priority: 9, ..job("guild") };
        let problem = client.submit("1", &other).await.expect_err("another specification");
        assert_eq!((problem.code, problem.outcome), (Code::KeyReused, Outcome::NotRun));
    });
}

#[test]
fn jobs_are_accessible_through_any_entry() {
    run(async |store| {
        let (a, b) = (Entry::start("a", &store), Entry::start("b", &store));
        for key in 0..8 {
            let key = key.to_string();
            let (record, _) = a.client().submit_until_recorded(&key, &job("guild")).await;
            let found = b.client().wait_for_state(&record.id, "queued").await;
            assert_eq!(found, record);
            let (_, created) = b.client().submit_until_recorded(&key, &job("guild")).await;
            assert!(!created, "{key}");
        }
    });
}

#[test]
fn after_an_owner_is_killed_a_started_job_runs_only_once() {
    run(async |store| {
        let mut a = Entry::start("a", &store);
        let (record, _) = a.client().submit_until_recorded("1", &job("guild")).await;
        let mut agent = Agent::new("w", a.client());
        agent.report_until_holding(1).await;
        a.kill();
        let b = Entry::start("b", &store);
        agent.switch_to(b.client());
        while agent.report().await.owned.is_empty() {}
        let found = b.client().wait_for_state(&record.id, "started").await;
        assert_eq!(found.attempts, 1);
        agent.set_phase(TaskPhase::Done, "");
        agent.report_until_holding(0).await;
        b.client().wait_for_state(&record.id, "done").await;
        assert_eq!(agent.granted.len(), 1);
    });
}

#[test]
fn an_owner_that_stops_gracefully_releases_its_ledgers_immediately() {
    run(async |store| {
        let mut a = Entry::start("a", &store);
        let (record, _) = a.client().submit_until_recorded("1", &job("guild")).await;
        let b = Entry::start("b", &store);
        a.stop();
        assert_eq!(b.client().wait_for_state(&record.id, "queued").await, record);
    });
}

#[test]
fn a_restarted_worker_makes_a_job_unknown_unless_it_is_idempotent() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (single, _) = client.submit_until_recorded("1", &job("guild")).await;
        let (repeatable, _) =
            client.submit_until_recorded("2", &Spec { idempotent: true, ..job("guild") }).await;
        let mut agent = Agent::new("w", entry.client());
        agent.report_until_holding(2).await;
        agent.report().await;
        agent.reboot();
        agent.report().await;
        client.wait_for_state(&single.id, "unknown").await;
        agent.report_until_holding(1).await;
        assert_eq!(client.wait_for_state(&repeatable.id, "started").await.attempts, 2);
    });
}

#[test]
fn a_job_of_a_silent_worker_becomes_unknown_after_its_lease() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let (record, _) = entry.client().submit_until_recorded("1", &job("guild")).await;
        Agent::new("w", entry.client()).report_until_holding(1).await;
        entry.client().wait_for_state(&record.id, "unknown").await;
    });
}

#[test]
fn an_evicted_job_resumes_once_from_its_checkpoint() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let (record, _) = entry.client().submit_until_recorded("1", &job("guild")).await;
        let mut agent = Agent::new("w", entry.client());
        agent.report_until_holding(1).await;
        agent.set_phase(TaskPhase::Evicted, "half");
        while agent.granted.len() < 2 {
            agent.report().await;
        }
        assert_eq!(agent.granted[1].checkpoint, "half");
        agent.set_phase(TaskPhase::Done, "");
        agent.report_until_holding(0).await;
        let found = entry.client().wait_for_state(&record.id, "done").await;
        assert_eq!((found.attempts, agent.granted.len()), (2, 2));
    });
}

#[test]
fn a_cancelled_job_never_starts_and_a_running_one_is_stopped() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (running, _) = client.submit_until_recorded("1", &job("guild")).await;
        let mut agent = Agent::new("w", entry.client());
        agent.report_until_holding(1).await;
        let (waiting, _) = client.submit_until_recorded("2", &job("guild")).await;
        let cancelled = client.cancel(&waiting.id).await.expect("a recorded job");
        assert_eq!(cancelled.state.as_str(), "cancelled");
        client.cancel(&running.id).await.expect("a recorded job");
        let reply = agent.report().await;
        assert_eq!((reply.grants.len(), reply.stops.len()), (0, 1));
        agent.set_phase(TaskPhase::Stopped, "");
        agent.report_until_holding(0).await;
        client.wait_for_state(&running.id, "cancelled").await;
        assert_eq!(agent.granted.len(), 1);
    });
}

#[test]
fn a_submission_during_an_outage_is_refused_as_not_run() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        client.submit_until_recorded("1", &job("guild")).await;
        store.faults.set_down(true);
        monoio::time::sleep(Duration::from_secs(1)).await;
        let problem = client.submit("2", &job("guild")).await.expect_err("no store");
        assert_eq!((problem.code, problem.outcome), (Code::StoreUnavailable, Outcome::NotRun));
        store.faults.set_down(false);
        let (_, created) = client.submit_until_recorded("2", &job("guild")).await;
        assert!(created);
    });
}

#[test]
fn lost_store_answers_neither_lose_nor_duplicate_a_job() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        client.submit_until_recorded("warm", &job("guild")).await;
        store.faults.set_lost_answers(0.5);
        let mut ids = Vec::new();
        for key in 0..10 {
            ids.push(client.submit_until_recorded(&key.to_string(), &job("guild")).await.0.id);
        }
        let mut agent = Agent::new("w", entry.client());
        for id in &ids {
            while client.read(id).await.is_ok_and(|record| !record.state.is_final()) {
                agent.report().await;
                agent.set_phase(TaskPhase::Done, "");
            }
            client.wait_for_state(id, "done").await;
        }
        assert_eq!(agent.granted.len(), 11);
    });
}

#[test]
fn a_burst_of_submissions_and_cancellations_needs_few_writes() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        client.submit_until_recorded("warm", &job("guild")).await;
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
fn a_long_outage_neither_loses_nor_duplicates_a_started_job() {
    run(async |store| {
        let entry = Entry::start("a", &store);
        let client = entry.client();
        let (record, _) = client.submit_until_recorded("1", &job("guild")).await;
        let mut agent = Agent::new("w", entry.client());
        agent.report_until_holding(1).await;
        store.faults.set_down(true);
        while !agent.report().await.owned.is_empty() {}
        agent.set_phase(TaskPhase::Lapsed, "half");
        store.faults.set_down(false);
        while agent.granted.len() < 2 {
            agent.report().await;
        }
        assert_eq!(agent.granted[1].checkpoint, "half");
        agent.set_phase(TaskPhase::Done, "");
        agent.report_until_holding(0).await;
        assert_eq!(client.wait_for_state(&record.id, "done").await.attempts, 2);
    });
}

#[test]
fn a_busy_owner_releases_surplus_ledgers_to_a_new_entry() {
    run(async |store| {
        let a = Entry::start("a", &store);
        let client = a.client();
        client.submit_until_recorded("warm", &job("guild")).await;
        let b = Entry::start("b", &store);
        let mut agent = Agent::new("w", b.client());
        let mut key = 0;
        while agent.report().await.owned.len() < 2 {
            let keys: Vec<String> = (key..key + 20).map(|key| key.to_string()).collect();
            let spec = job("guild");
            join_all(keys.iter().map(|key| client.submit_until_recorded(key, &spec))).await;
            key += 20;
        }
        let (record, _) = client.submit_until_recorded("after", &job("guild")).await;
        assert_eq!(
            b.client().wait_for_state(&record.id, record.state.as_str()).await.id,
            record.id
        );
    });
}
