//! Commands that connect to running processes.

mod support;

use futures_channel::oneshot;
use shallotflow_cli::error::Error;
use shallotflow_cli::output::Output;
use shallotflow_core::problem::Code;
use shallotflow_entry::{Bound, Settings};
use shallotflow_runtime::stop::Stop;
use shallotflow_wire::proto;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::Channel;
use std::time::Duration;
use support::{file, run, with_store};
use test_case::test_case;

const PAUSE: Duration = Duration::from_millis(10);

async fn start_entry() -> Bound {
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
    SchedulerClient::with_origin(channel, origin).report(report).await.expect("an accepted report");
}

#[test]
fn an_evacuation_of_an_unknown_domain_names_the_known_ones() {
    with_store(async |store| {
        let entry = start_entry().await;
        let peers = format!("--peers={}", entry.peers);
        let evacuate = async |domain: &str, peers: &str| {
            store.run(&["evacuate", peers, "--reason=smoke", domain]).await
        };
        // The entry lists no workers, so that no domain can be said to be unknown.
        let output = evacuate("d9", &peers).await.expect("an evacuation");
        assert!(output.text.contains("the entries list no workers"), "{}", output.text);
        announce(entry, "w1").await;
        let error = evacuate("d2", &peers).await.expect_err("an unknown domain");
        assert_eq!(error.exit_code(), 2);
        let message = "no worker is in domain `d2`; the known domains are d1";
        assert_eq!(error.to_string(), message);
        let listed = store.run(&["except", "list"]).await.expect("a list");
        assert!(!listed.text.contains("evacuate-d2"), "{}", listed.text);
        let output = evacuate("d1", &peers).await.expect("an evacuation");
        assert!(output.json.get("unverified").is_none(), "{}", output.json);
        // An entry that is lost does not keep operators from evacuating.
        let output = evacuate("d3", "--peers=127.0.0.1:1").await.expect("an evacuation");
        assert!(output.text.contains("are not verified: 127.0.0.1:1"), "{}", output.text);
    });
}

#[test]
fn check_finds_conditions_that_no_known_worker_fulfils() {
    with_store(async |_| {
        let entry = start_entry().await;
        announce(entry, "w1").await;
        let text = "[exception x]\ndomain = d2\nreserve = 50%\nreason = r\n";
        let path = file("check-workers.ini", text);
        let peers = format!("--peers={}", entry.peers);
        let output = run(&["check", &peers, &path]).await.expect("a check");
        assert_eq!(output.json["findings"][0]["kind"], "unmatched", "{}", output.text);
        let output = run(&["check", "--peers=127.0.0.1:1", &path]).await.expect("a check");
        assert_eq!((output.exit_code, &output.json["findings"]), (0, &serde_json::json!([])));
        assert!(output.text.contains("not compared with the known workers"), "{}", output.text);
    });
}

#[test]
fn targets_of_several_entries_are_listed_once() {
    with_store(async |_| {
        let entries = [start_entry().await, start_entry().await];
        for entry in entries {
            announce(entry, "w1").await;
        }
        announce(entries[1], "w2").await;
        let addresses = entries.map(|entry| format!("--peers={}", entry.peers));
        let args = ["targets", &addresses[0], &addresses[1]];
        let output = run(&args).await.expect("targets");
        let workers: Vec<_> =
            output.json.as_array().expect("a list").iter().map(|row| &row["worker"]).collect();
        assert_eq!(workers, ["w1", "w2"]);
        let of_kind = run(&["targets", &addresses[0], "--kind=other"]).await.expect("targets");
        assert_eq!(of_kind.text, "no targets\n");
    });
}

#[test]
fn dump_prints_the_state_of_a_process() {
    with_store(async |_| {
        let entry = start_entry().await;
        announce(entry, "w1").await;
        let dump = run(&["dump", &entry.operators.to_string()]).await.expect("a dump");
        assert_eq!(dump.json["targets"][0]["worker"], "w1");
        let wrong = run(&["dump", &entry.callers.to_string()]).await.expect_err("no dump");
        assert!(wrong.to_string().contains("give the operators' address"), "{wrong}");
    });
}

#[test]
fn problems_from_an_entry_map_to_exit_codes() {
    with_store(async |_| {
        let entry = format!("--entry={}", start_entry().await.callers);
        // An entry without a configured store rejects batch jobs with the outcome `not-run`.
        let args = ["submit", &entry, "--caller=guild", "--runs=5s", "render"];
        let error = run(&args).await.expect_err("no store");
        assert!(error.to_string().contains("(not-run)"), "{error}");
        assert_eq!(error.exit_code(), 1);
        let error = run(&["status", &entry, "no-such-job"]).await.expect_err("no job");
        assert!(matches!(error, Error::Problem(_)), "{error}");
        assert_eq!(error.exit_code(), 5);
    });
}

#[test]
fn graph_submits_shows_counts_and_cancels_a_job() {
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
        let args = ["graph", "submit", &entry, "--caller=guild", id, "render", file];
        let submitted = loop {
            match run(&args).await {
                Ok(output) => break output,
                // The entry has not connected to the store yet.
                Err(Error::Problem(problem)) if problem.code == Code::StoreUnavailable => {
                    monoio::time::sleep(PAUSE).await;
                }
                Err(error) => panic!("{error}"),
            }
        };
        assert_eq!(submitted.json["id"], "00000000000000a1");
        loop {
            match run(&["graph", "waiting", &entry, "render"]).await {
                Ok(output) if output.json["waiting"] == 1 => break,
                _ => monoio::time::sleep(PAUSE).await,
            }
        }
        let call = |verb| run_args(["graph", verb, &entry, "render", "00000000000000a1"]);
        assert_eq!(call("status").await.expect("a state").json["state"], "queued");
        assert_eq!(call("cancel").await.expect("a cancel").json["state"], "cancelled");
        let absent = ["graph", "status", &entry, "render", "00000000000000a2"];
        assert_eq!(run(&absent).await.expect_err("no job").exit_code(), 5);
    });
}

async fn run_args(args: [&str; 5]) -> shallotflow_cli::error::Result<Output> {
    run(&args).await
}

#[test_case("no-such-file.json", "no-such-file.json"; "no file")]
#[test_case(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"), "expected value"; "not JSON")]
fn errors_name_an_invalid_job_file(file: &str, detail: &str) {
    with_store(async |_| {
        let args = ["graph", "submit", "--entry=127.0.0.1:1", "--caller=guild", "render", file];
        let error = run(&args).await.expect_err("no job");
        assert!(matches!(error, Error::Argument(_)), "{error}");
        assert!(error.to_string().contains(detail), "{error}");
    });
}

#[test]
fn errors_name_an_unreachable_process() {
    with_store(async |_| {
        let error = run(&["status", "--entry=127.0.0.1:1", "a:b"]).await.expect_err("no process");
        assert_eq!(error.exit_code(), 1);
        assert!(error.to_string().contains("127.0.0.1:1"), "{error}");
    });
}

#[test_case(&["--help"], 0; "help")]
#[test_case(&["frobnicate"], 2; "an unknown command")]
#[test_case(&["jobs", "--peers=127.0.0.1:1", "--state=open"], 2; "an unknown state")]
#[test_case(&["check", "no-such-file.ini"], 2; "missing file")]
#[test_case(&["show", "--store=127.0.0.1:1"], 1; "no store")]
fn exit_codes_classify_errors(args: &[&str], code: u8) {
    assert_eq!(shallotflow_cli::main(args.into()), code);
}
