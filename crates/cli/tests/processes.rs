//! Commands that talk to running processes.

mod support;

use futures_channel::oneshot;
use shallotflow_cli::answer::Answer;
use shallotflow_cli::error::Error;
use shallotflow_core::problem::Code;
use shallotflow_entry::{Bound, Settings};
use shallotflow_runtime::stop::Stop;
use shallotflow_wire::proto;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::Channel;
use std::time::Duration;
use support::{run, with_store};
use test_case::test_case;

const PAUSE: Duration = Duration::from_millis(10);

async fn entry() -> Bound {
    let (ready, bound) = oneshot::channel();
    let settings = Settings { log: "off".into(), ..Settings::default() };
    monoio::spawn(shallotflow_entry::run(settings, Stop::default(), |bound| {
        let _ = ready.send(bound);
    }));
    bound.await.expect("a started entry")
}

async fn announce(entry: Bound, worker: &str) {
    let channel = Channel::new(entry.peers);
    let origin = channel.origin();
    let report = proto::ReportRequest {
        worker: worker.to_owned(),
        domain: "d1".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        kinds: vec!["preview".to_owned()],
        incarnation: 1,
        sequence: 1,
        ..Default::default()
    };
    SchedulerClient::with_origin(channel, origin).report(report).await.expect("a taken report");
}

#[test]
fn targets_of_several_entries_are_listed_once() {
    with_store(async |_| {
        let entries = [entry().await, entry().await];
        for entry in entries {
            announce(entry, "w1").await;
        }
        announce(entries[1], "w2").await;
        let addresses = entries.map(|entry| format!("--peers={}", entry.peers));
        let words = ["targets", &addresses[0], &addresses[1]];
        let answer = run(&words).await.expect("targets");
        let workers: Vec<_> =
            answer.json.as_array().expect("a list").iter().map(|row| &row["worker"]).collect();
        assert_eq!(workers, ["w1", "w2"]);
        let of_kind = run(&["targets", &addresses[0], "--kind=other"]).await.expect("targets");
        assert_eq!(of_kind.text, "no targets\n");
    });
}

#[test]
fn a_dump_is_the_state_of_the_process() {
    with_store(async |_| {
        let entry = entry().await;
        announce(entry, "w1").await;
        let dump = run(&["dump", &entry.operators.to_string()]).await.expect("a dump");
        assert_eq!(dump.json["targets"][0]["worker"], "w1");
        let wrong = run(&["dump", &entry.callers.to_string()]).await.expect_err("no dump");
        assert!(wrong.to_string().contains("give the operators' address"), "{wrong}");
    });
}

#[test]
fn problems_of_an_entry_become_exit_codes() {
    with_store(async |_| {
        let entry = format!("--entry={}", entry().await.callers);
        // Without a store in its settings an entry refuses batch work as not run.
        let words = ["submit", &entry, "--caller=guild", "--runs=5s", "render"];
        let error = run(&words).await.expect_err("no store");
        assert!(error.to_string().contains("(not-run)"), "{error}");
        assert_eq!(error.exit_code(), 1);
        let error = run(&["status", &entry, "no-such-job"]).await.expect_err("no job");
        assert!(matches!(error, Error::Problem(_)), "{error}");
        assert_eq!(error.exit_code(), 5);
    });
}

#[test]
fn a_job_of_several_tasks_is_submitted_shown_counted_and_cancelled() {
    with_store(async |store| {
        let (ready, bound) = oneshot::channel();
        let settings = Settings {
            log: "off".into(),
            store: vec![store.address],
            graphs_listen: Some(([127, 0, 0, 1], 0).into()),
            ..Settings::default()
        };
        monoio::spawn(shallotflow_entry::run(settings, Stop::default(), |bound| {
            let _ = ready.send(bound);
        }));
        let entry = format!("--entry={}", bound.await.expect("a started entry").callers);
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/samples/job.json");
        let id = "--id=00000000000000a1";
        let words = ["graph", "submit", &entry, "--caller=guild", id, "render", file];
        let submitted = loop {
            match run(&words).await {
                Ok(answer) => break answer,
                // The store is not known yet.
                Err(Error::Problem(problem)) if problem.code == Code::StoreUnavailable => {
                    monoio::time::sleep(PAUSE).await;
                }
                Err(error) => panic!("{error}"),
            }
        };
        assert_eq!(submitted.json["id"], "00000000000000a1");
        loop {
            match run(&["graph", "waiting", &entry, "render"]).await {
                Ok(answer) if answer.json["waiting"] == 1 => break,
                _ => monoio::time::sleep(PAUSE).await,
            }
        }
        let about = |verb| run_owned(["graph", verb, &entry, "render", "00000000000000a1"]);
        assert_eq!(about("status").await.expect("a state").json["state"], "queued");
        assert_eq!(about("cancel").await.expect("a cancel").json["state"], "cancelled");
        let absent = ["graph", "status", &entry, "render", "00000000000000a2"];
        assert_eq!(run(&absent).await.expect_err("no job").exit_code(), 5);
    });
}

async fn run_owned(words: [&str; 5]) -> shallotflow_cli::error::Result<Answer> {
    run(&words).await
}

#[test_case("no-such-file.json", "no-such-file.json"; "no file")]
#[test_case(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"), "expected value"; "no JSON")]
fn a_file_that_is_no_job_is_named(file: &str, detail: &str) {
    with_store(async |_| {
        let words = ["graph", "submit", "--entry=127.0.0.1:1", "--caller=guild", "render", file];
        let error = run(&words).await.expect_err("no job");
        assert!(matches!(error, Error::Argument(_)), "{error}");
        assert!(error.to_string().contains(detail), "{error}");
    });
}

#[test]
fn a_process_that_does_not_run_is_named() {
    with_store(async |_| {
        let error = run(&["status", "--entry=127.0.0.1:1", "a:b"]).await.expect_err("nobody");
        assert_eq!(error.exit_code(), 1);
        assert!(error.to_string().contains("127.0.0.1:1"), "{error}");
    });
}

#[test_case(&["--help"], 0; "help")]
#[test_case(&["frobnicate"], 2; "an unknown command")]
#[test_case(&["jobs", "--peers=127.0.0.1:1", "--state=open"], 2; "an unknown state")]
#[test_case(&["check", "no-such-file.ini"], 2; "no file")]
#[test_case(&["show", "--store=127.0.0.1:1"], 1; "no store")]
fn the_exit_code_tells_what_went_wrong(words: &[&str], code: u8) {
    assert_eq!(shallotflow_cli::main(words.into()), code);
}
