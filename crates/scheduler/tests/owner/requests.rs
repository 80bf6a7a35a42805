//! What the owner learns of jobs and cancels when it reads all requests of callers again.

use super::store::{Handle, Shared, Watches};
use super::{Process, job, run, until};
use shallotflow_core::graph::{Id, State};
use shallotflow_policy::plan::Progress;
use shallotflow_scheduler::entry::{Submission, keys};
use shallotflow_scheduler::peers::{Call, Request, pack};
use shallotflow_store::store::Store;
use shallotflow_store::transaction::Transaction;
use std::rc::Rc;

/// Starts an owner with a job that shows that it has read the requests again, and lets its watch hear
/// nothing.
async fn start_deaf_owner(shared: &Rc<Shared>) -> Process {
    let owner = Process::start("a", 1, shared);
    until(|| owner.owns()).await;
    while owner.report(false).await.epoch == 0 {}
    shared.set_watches(Watches::Silent);
    owner
}

/// Stores records as another entry does.
async fn store(shared: &Rc<Shared>, transaction: Transaction) {
    let handle = Handle { caller: "b", shared: shared.clone() };
    handle.commit(transaction).await.expect("the records are stored");
}

/// The records of a job that has completed.
fn completed(id: Id) -> Transaction {
    let done = Progress { state: State::Completed, done: vec![(0, 0)], ..Progress::default() };
    Transaction::default()
        .put(keys::job(id), pack(&job()).expect("a job"))
        .put(keys::progress(id), pack(&done).expect("a record"))
}

/// Drops the history of the store, and waits until the owner knows the job `id`, which was stored last.
async fn read_again(owner: &Process, shared: &Rc<Shared>, id: Id) {
    shared.compact();
    shared.set_watches(Watches::Serve);
    // A caller's query would let the owner know of the cancel.
    until(|| knows(owner, id)).await;
}

fn knows(owner: &Process, id: Id) -> bool {
    let id = id.to_string();
    let dump = owner.entry.dump();
    dump["jobs"].as_array().is_some_and(|jobs| jobs.iter().any(|job| job["job"] == *id))
}

fn state_in_table(owner: &Process, id: Id) -> String {
    let id = id.to_string();
    let dump = owner.entry.dump();
    let jobs = dump["jobs"].as_array().expect("jobs");
    let job = jobs.iter().find(|job| job["job"] == *id).expect("a known job");
    job["state"].as_str().expect("a state").to_owned()
}

/// Guards against a cancel that is lost where the owner reads all requests again: their keys are in the
/// order of their names, so cancels come before jobs.
#[test]
fn a_cancel_counts_that_is_read_again_together_with_its_job() {
    run(async |shared| {
        let owner = start_deaf_owner(&shared).await;
        let records = Transaction::default()
            .put(keys::job(Id(7)), pack(&job()).expect("a job"))
            .put(keys::cancel(Id(7)), b"1".as_slice());
        store(&shared, records).await;
        read_again(&owner, &shared, Id(7)).await;
        assert_eq!(state_in_table(&owner, Id(7)), State::Cancelled.as_str());
        assert!(!owner.orders_a_start().await);
    });
}

/// Guards against a cancel that is lost since its notice overtakes that of the job.
#[test]
fn a_cancel_counts_whose_notice_comes_before_the_job() {
    run(async |shared| {
        let owner = start_deaf_owner(&shared).await;
        for request in [
            Request::CancelStored { id: Id(7) },
            Request::JobStored { id: Id(7), job: job(), claim: 0 },
        ] {
            let (sender, answer) = futures_channel::oneshot::channel();
            owner.calls.unbounded_send(Call::Ask(Box::new(request), sender)).expect("an entry");
            answer.await.expect("an answer");
        }
        assert_eq!(state_in_table(&owner, Id(7)), State::Cancelled.as_str());
        assert!(!owner.orders_a_start().await);
    });
}

/// Guards against a completed job that runs again: the table has forgotten it, it could not be deleted
/// from the store, and the owner reads all requests again.
#[test]
fn a_job_that_has_ended_does_not_run_again_once_it_is_read_again() {
    run(async |shared| {
        let owner = start_deaf_owner(&shared).await;
        store(&shared, completed(Id(7))).await;
        read_again(&owner, &shared, Id(7)).await;
        assert_eq!(state_in_table(&owner, Id(7)), State::Completed.as_str());
        assert!(!owner.orders_a_start().await);
    });
}

/// Guards against a completed job that runs again at a successor: its deletion is carried out between the
/// reads of the jobs and of their progress.
#[test]
fn a_job_that_is_deleted_while_it_is_read_does_not_run_again() {
    run(async |shared| {
        store(&shared, completed(Id(7))).await;
        let contents = shared.clone();
        let mut reads = 0;
        shared.intercept(move |_, call| {
            if let super::Call::Range(keys::REQUESTS | keys::PROGRESS) = call {
                reads += 1;
                if reads == 2 {
                    contents.delete(&keys::job(Id(7)));
                    contents.delete(&keys::progress(Id(7)));
                }
            }
            super::Delivery::Serve
        });
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        assert_eq!(owner.entry.submit(Id(8), job()).await, Submission::Accepted);
        let mut ordered = Vec::new();
        while !ordered.contains(&Id(8)) {
            let reply = owner.report(false).await;
            ordered.extend(reply.orders.iter().map(|order| order.task.job));
        }
        assert!(!ordered.contains(&Id(7)), "{ordered:?}");
    });
}

/// Guards against a completed job that runs again at a successor: the row of its progress cannot be read, and the
/// job counts as one that has not begun.
#[test]
fn a_job_whose_progress_is_missing_from_the_list_does_not_run_again() {
    run(async |shared| {
        store(&shared, completed(Id(7))).await;
        shared.hide(&keys::progress(Id(7)));
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        assert_eq!(state_in_table(&owner, Id(7)), State::Completed.as_str());
        assert!(!owner.orders_a_start().await);
    });
}

/// Guards against a job that nobody knows of until the next owner, since its row could not be read once.
#[test]
fn a_job_that_is_missing_from_the_list_is_found_once_it_can_be_read() {
    run(async |shared| {
        let records = Transaction::default().put(keys::job(Id(7)), pack(&job()).expect("a job"));
        store(&shared, records).await;
        shared.hide(&keys::job(Id(7)));
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        assert!(!knows(&owner, Id(7)));
        shared.show_all();
        until(|| knows(&owner, Id(7))).await;
    });
}
