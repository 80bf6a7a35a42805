//! Changes of the fleet configuration: concurrent edits, lost responses, invalid input.

mod support;

use async_trait::async_trait;
use serde_json::json;
use shallotflow_cli::change::{Current, Edit, Session};
use shallotflow_cli::command::command;
use shallotflow_cli::error::{EXIT_FINDINGS, Error};
use shallotflow_core::fleet::{Changes, key};
use shallotflow_standin::store::Faults;
use shallotflow_store::client::{Client, Settings};
use shallotflow_store::error as store_error;
use shallotflow_store::pair::Pair;
use shallotflow_store::store::{self, Snapshot};
use shallotflow_store::transaction::Transaction;
use shallotflow_store::watch::Watch;
use std::time::Duration;
use support::{Store, file, run, with_store};

const FIRST: &str = "; kept comment\n[defaults]\nreserve = 20%\n";

async fn show(store: &Store) -> String {
    store.run(&["show"]).await.expect("a configuration").text
}

async fn add(store: &Store, id: &str) -> i64 {
    store.apply(&["except", "add", "--worker=w1", "--reason=r", id, "batch=false"]).await
}

#[test]
fn show_prints_the_applied_file_with_comments_and_revision() {
    with_store(async |store| {
        let revision = store.apply(&["apply", &file("first.ini", FIRST)]).await;
        assert_eq!(show(&store).await, format!("; revision {revision}\n{FIRST}"));
        let again = file("again.ini", &show(&store).await.replace("20%", "30%"));
        assert!(store.apply(&["apply", &again]).await > revision);
        assert!(show(&store).await.contains("; kept comment\n[defaults]\nreserve = 30%\n"));
    });
}

#[test]
fn invalid_files_are_refused_before_any_write() {
    with_store(async |store| {
        let bad = file("bad.ini", "[defaults]\n\nreserve = much\n");
        let error = store.run(&["apply", &bad]).await.expect_err("an invalid file");
        assert_eq!(error.exit_code(), 2);
        assert!(error.to_string().contains("bad.ini:3: `much` is not a percentage"), "{error}");
        let error = run(&["check", &bad]).await.expect_err("an invalid file");
        assert_eq!(error.exit_code(), 2);
        assert!(show(&store).await.starts_with("; revision 0\n"));
    });
}

#[test]
fn edits_merge_unless_they_change_the_same_section() {
    with_store(async |store| {
        store.apply(&["apply", &file("base.ini", FIRST)]).await;
        let base = show(&store).await;
        let mine = file("mine.ini", &base.replace("20%", "30%"));
        let rival = file("rival.ini", &base.replace("20%", "40%"));
        add(&store, "x1").await;
        let output = store.run(&["apply", &mine]).await.expect("a merged edit");
        assert_eq!(output.json["merged"], true);
        let text = show(&store).await;
        assert!(text.contains("reserve = 30%") && text.contains("[exception x1]"), "{text}");
        let error = store.run(&["apply", &rival]).await.expect_err("an overlapping edit");
        assert_eq!(error.exit_code(), 3);
        let message = error.to_string();
        assert!(message.contains("--- defaults, in force:"), "{message}");
        assert!(
            message.contains("reserve = 30%") && message.contains("reserve = 40%"),
            "{message}"
        );
        assert_eq!(show(&store).await, text);
    });
}

#[test]
fn an_empty_file_is_stored_as_a_non_empty_text() {
    with_store(async |store| {
        let revision = store.apply(&["apply", &file("empty.ini", "")]).await;
        assert_eq!(show(&store).await, format!("; revision {revision}\n[defaults]\n"));
    });
}

#[test]
fn a_file_without_a_base_needs_the_replace_flag() {
    with_store(async |store| {
        let path = file("base-missing.ini", FIRST);
        store.apply(&["apply", &path]).await;
        let error = store.run(&["apply", &path]).await.expect_err("no base");
        assert_eq!(error.exit_code(), 2);
        store.apply(&["apply", "--replace", &path]).await;
    });
}

#[test]
fn an_edit_of_an_expired_revision_is_refused() {
    with_store(async |store| {
        store.apply(&["apply", &file("gone.ini", FIRST)]).await;
        let old = file("gone-old.ini", &show(&store).await.replace("20%", "30%"));
        for index in 0..=Changes::TEXTS_KEPT {
            add(&store, &format!("x{index}")).await;
        }
        let error = store.run(&["apply", &old]).await.expect_err("an expired base");
        assert!(matches!(error, Error::BaseUnavailable { .. }), "{error}");
        assert_eq!(error.exit_code(), 3);
    });
}

#[test]
fn concurrent_changes_are_all_applied() {
    with_store(async |store| {
        let changes = (0..8).map(|index| {
            let id = format!("race{index}");
            let store = &store;
            async move { add(store, &id).await }
        });
        let mut revisions = futures_util::future::join_all(changes).await;
        revisions.sort_unstable();
        revisions.dedup();
        assert_eq!(revisions.len(), 8, "each change has its own revision");
        let listed = store.run(&["except", "list"]).await.expect("a list");
        assert_eq!(listed.json.as_array().map(Vec::len), Some(8));
    });
}

#[test]
fn concurrent_changes_with_lost_responses_match_their_results() {
    with_store(async |store| {
        store.faults.set_lost_answers(0.5);
        let editors = (0..6).map(|editor| {
            let store = &store;
            async move {
                let mut results = Vec::new();
                for step in 0..3 {
                    let id = format!("e{editor}-{step}");
                    let args = ["except", "add", "--worker=w1", "--reason=r", &id, "batch=false"];
                    results.push((id.clone(), store.run(&args).await));
                }
                // Remove the first of the three exceptions.
                let first = format!("e{editor}-0");
                results.push((first.clone(), store.run(&["except", "remove", &first]).await));
                results
            }
        });
        let results: Vec<_> =
            futures_util::future::join_all(editors).await.into_iter().flatten().collect();
        store.faults.set_lost_answers(0.0);
        let listed = store.run(&["except", "list"]).await.expect("a list");
        let ids: Vec<&str> = listed
            .json
            .as_array()
            .expect("a list")
            .iter()
            .filter_map(|exception| exception["id"].as_str())
            .collect();
        for (id, result) in &results {
            // Only responses to writes are lost; reads determine the outcome of every change.
            result.as_ref().unwrap_or_else(|error| panic!("{id}: {error}"));
            assert_eq!(ids.contains(&id.as_str()), !id.ends_with("-0"), "{id}");
        }
        assert_eq!(ids.len(), 12, "no exception is listed twice: {ids:?}");
    });
}

#[test]
fn reading_the_store_recovers_from_a_lost_response() {
    with_store(async |store| {
        let first = store.apply(&["apply", &file("lost.ini", FIRST)]).await;
        store.faults.set_lost_answers(1.0);
        let revision = add(&store, "lost").await;
        assert!(revision > first);
        store.faults.set_lost_answers(0.0);
        assert!(show(&store).await.starts_with(&format!("; revision {revision}\n")));
    });
}

/// Commits each write, loses the response, and stays unavailable afterwards.
struct OutageAfterCommit {
    inner: Client,
    faults: Faults,
}

#[async_trait(?Send)]
impl store::Store for OutageAfterCommit {
    async fn get(&self, key: &str) -> store_error::Result<Option<Pair>> {
        self.inner.get(key).await
    }

    async fn range(&self, prefix: &str) -> store_error::Result<Snapshot> {
        self.inner.range(prefix).await
    }

    async fn commit(&self, transaction: Transaction) -> store_error::Result<i64> {
        self.inner.commit(transaction).await?;
        self.faults.set_down(true);
        Err(store_error::Error::Unknown { reason: "the connection broke".to_owned() })
    }

    async fn grant(&self, ttl: Duration) -> store_error::Result<i64> {
        self.inner.grant(ttl).await
    }

    async fn keep_alive(&self, lease: i64) -> store_error::Result<()> {
        self.inner.keep_alive(lease).await
    }

    async fn revoke(&self, lease: i64) -> store_error::Result<()> {
        self.inner.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, revision: i64) -> store_error::Result<Box<dyn Watch>> {
        self.inner.watch(prefix, revision).await
    }
}

#[test]
fn a_change_with_an_unknown_outcome_is_applied_at_most_once() {
    with_store(async |store| {
        let settings = Settings { endpoints: vec![store.address], ..Settings::default() };
        let inner = Client::new(settings);
        let store_with_outage = OutageAfterCommit { inner, faults: store.faults.clone() };
        let text = "[exception y]\nworker = w1\nbatch = false\nreason = r\n";
        let edit = |_: &Current| Ok(Edit::unmerged(text.to_owned()));
        let error = Session::new(&store_with_outage).change("c-1".into(), edit).await;
        let error = error.expect_err("a change with an unknown outcome");
        assert_eq!(error.exit_code(), 4, "{error}");
        assert!(error.to_string().contains("--change c-1"), "{error}");
        store.faults.set_down(false);
        let before = show(&store).await;
        assert!(before.contains("[exception y]"), "{before}");
        let add =
            ["except", "add", "--change=c-1", "--worker=w1", "--reason=r", "y", "batch=false"];
        store.apply(&add).await;
        assert_eq!(show(&store).await, before);
    });
}

#[test]
fn exceptions_need_a_reason_on_one_line_and_an_accepted_value() {
    let args = &["except", "add", "--store=127.0.0.1:1", "--worker=w1", "x", "batch=false"];
    let failure = command().run_inner(args).expect_err("no reason");
    assert!(failure.unwrap_stderr().contains("--reason"));
    with_store(async |store| {
        let add = async |reason: &str, value: &str| {
            let reason = format!("--reason={reason}");
            let args = ["except", "add", "--worker=w1", &reason, "x", value];
            store.run(&args).await.expect_err("a refused exception")
        };
        let error = add("r\n[defaults]\nbatch = false", "batch=false").await;
        assert!(error.to_string().contains("has a line break"), "{error}");
        let error = add("r", "batch=no").await;
        assert!(error.to_string().contains("`no` is not `true` or `false`"), "{error}");
        let error = add("", "batch=false").await;
        assert!(error.to_string().contains("has no `reason`"), "{error}");
        assert!(show(&store).await.starts_with("; revision 0\n"));
    });
}

#[test]
fn removing_an_exception_keeps_the_rest_of_the_text() {
    with_store(async |store| {
        store.apply(&["apply", &file("keep.ini", FIRST)]).await;
        add(&store, "a").await;
        let before = show(&store).await;
        add(&store, "b").await;
        store.apply(&["except", "remove", "b"]).await;
        let after = show(&store).await;
        let text = |shown: &str| shown.lines().skip(1).collect::<Vec<_>>().join("\n");
        assert_eq!(text(&after), text(&before));
        let error = store.run(&["except", "remove", "b"]).await.expect_err("no such exception");
        assert_eq!(error.exit_code(), 5);
    });
}

#[test]
fn an_invalid_stored_text_is_shown_and_can_be_replaced() {
    with_store(async |store| {
        let settings = Settings { endpoints: vec![store.address], ..Settings::default() };
        let client = Client::new(settings);
        let write = Transaction::default().put(key::TEXT, "[default]\n");
        store::Store::commit(&client, write).await.expect("a written text");
        assert!(show(&store).await.ends_with("\n[default]\n"));
        let error = store.run(&["show", "--worker=w1"]).await.expect_err("an invalid text");
        assert!(error.to_string().contains("store:1: section `default` is unknown"), "{error}");
        store.apply(&["apply", "--replace", &file("mended.ini", FIRST)]).await;
        assert!(show(&store).await.ends_with(FIRST));
    });
}

#[test]
fn a_drain_needs_a_reason_and_can_be_ended() {
    with_store(async |store| {
        let error = store.run(&["drain", "w3"]).await.expect_err("no reason");
        assert_eq!(error.exit_code(), 2);
        store.apply(&["drain", "--reason=new disks", "--for=2h", "w3"]).await;
        let drained = async || {
            let output = store.run(&["show", "--worker=w3"]).await.expect("values");
            output.json["drain"] == true
        };
        assert!(drained().await);
        let listed = store.run(&["except", "list"]).await.expect("a list");
        assert!(listed.text.contains("drain-w3"), "{}", listed.text);
        store.apply(&["drain", "--end", "w3"]).await;
        assert!(!drained().await);
    });
}

#[test]
fn an_evacuation_drains_a_domain_until_it_ends() {
    with_store(async |store| {
        let error = store.run(&["evacuate", "z1"]).await.expect_err("no reason");
        assert_eq!(error.exit_code(), 2);
        assert!(error.to_string().contains("an evacuation needs a reason"), "{error}");
        let args = ["evacuate", "--reason=smoke", "--author=anna", "--for=2h", "--change=c1", "z1"];
        let output = store.run(&args).await.expect("an evacuation");
        assert!(output.text.contains("are not verified: no entry is given"), "{}", output.text);
        let revision = output.json["revision"].clone();
        let again = store.run(&args).await.expect("the same change");
        assert_eq!(again.json["revision"], revision, "a change is applied once");
        let drains = async |domain: &str| {
            let domain = format!("--domain={domain}");
            let output = store.run(&["show", &domain, "--worker=w3"]).await.expect("values");
            output.json["drain"] == true
        };
        assert!(drains("z1").await && !drains("z2").await);
        let listed = store.run(&["except", "list"]).await.expect("a list");
        let row = &listed.json[0];
        assert_eq!((&row["id"], &row["author"]), (&"evacuate-z1".into(), &"anna".into()));
        assert!(row["expires_unix_s"].is_u64(), "{row}");
        let error = store.run(&["evacuate", "--reason=r", "z1"]).await.expect_err("a second one");
        assert!(error.to_string().contains("`evacuate-z1` exists"), "{error}");
        store.apply(&["evacuate", "--end", "z1"]).await;
        assert!(!drains("z1").await);
        let error = store.run(&["evacuate", "--end", "z1"]).await.expect_err("not evacuated");
        assert_eq!(error.exit_code(), 5);
    });
}

#[test]
fn check_reports_findings_and_differences_without_writing() {
    with_store(async |store| {
        let plain = file("check-plain.ini", FIRST);
        store.apply(&["apply", &plain]).await;
        let output = store.run(&["check", "--current", &plain]).await.expect("a check");
        assert_eq!((output.exit_code, &output.json["differences"]), (0, &serde_json::json!([])));
        assert!(output.text.contains("no differences"), "{}", output.text);
        let before = show(&store).await;
        let text = "[defaults]\nreserve = 20%\n[exception x]\nworker = w1\nreserve = 20%\n\
                    reason = new disks\nauthor = anna\n";
        let changed = file("check-changed.ini", text);
        for base in [&["--current"][..], &["--against", &plain]] {
            let args = [&["check"], base, &[&changed]].concat();
            let output = store.run(&args).await.expect("a check");
            assert_eq!(output.exit_code, EXIT_FINDINGS);
            let finding = &output.json["findings"][0];
            assert_eq!(
                (&finding["kind"], &finding["key"]),
                (&"redundant".into(), &"reserve".into())
            );
            let added = "added exception x, author anna, reason: new disks\n";
            assert!(output.text.contains(added), "{}", output.text);
            assert!(output.text.contains("  + reserve = 20%\n"), "{}", output.text);
        }
        assert_eq!(show(&store).await, before);
        let both = ["check", "--current", "--against", &plain, &changed];
        let error = store.run(&both).await.expect_err("two bases");
        assert_eq!(error.exit_code(), 2);
    });
}

#[test]
fn delays_show_the_causes_of_late_jobs_by_queue() {
    let line = |queue: &str, late: bool, disturbing_ms: u64| {
        let delay = json!({ "disturbing_ms": disturbing_ms, "slowed_ms": 500, "run_ms": 2_000 });
        let details = json!({
            "event": "ended", "job": "1", "queue": queue, "late": late, "took_ms": 2_500 + disturbing_ms,
            "objective_ms": 3_000, "work": 1_000, "last_task_ms": 400, "delay": delay,
        });
        format!("1.5 entry-1 {}\n", json!({ "message": "ended", "details": details }))
    };
    let log = [line("renders", true, 4_000), line("renders", false, 0), line("quotes", false, 0)];
    let path = file("delays.log", &format!("not JSON\n{{}}\n{}", log.concat()));
    with_store(async |_| {
        let output = run(&["delays", &path]).await.expect("a table");
        let rows = output.json.as_array().expect("rows");
        let first = json!(["renders", "2", "6.5", "1", "50%", "disturbing", "1", "50%", "4.0"]);
        assert_eq!(rows.iter().find(|row| row[0] == "renders"), Some(&first), "{}", output.text);
        assert!(run(&["delays", "absent.log"]).await.is_err());
    });
}
