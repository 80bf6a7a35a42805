//! Commands against a stand-in store.
#![allow(dead_code, reason = "each test file uses its own part")]

use monoio::net::TcpListener;
use shallotflow_cli::answer::Answer;
use shallotflow_cli::command::command;
use shallotflow_cli::error::Result;
use shallotflow_runtime::executor;
use shallotflow_standin::store::{Counters, Faults, Server, serve};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

const HANG: Duration = Duration::from_secs(60);

/// A stand-in store.
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    pub(crate) faults: Faults,
}

impl Store {
    /// Runs a command with the address of the store.
    pub(crate) async fn run(&self, words: &[&str]) -> Result<Answer> {
        let address = self.address.to_string();
        let store = ["--store", &address];
        // The address goes before the first argument that is not a subcommand.
        let at = words.iter().take_while(|word| is_subcommand(word)).count();
        run(&[&words[..at], &store, &words[at..]].concat()).await
    }

    /// The revision that a successful command printed.
    pub(crate) async fn apply(&self, words: &[&str]) -> i64 {
        let answer = self.run(words).await.expect("an applied change");
        answer.json["revision"].as_i64().expect("a revision")
    }
}

fn is_subcommand(word: &str) -> bool {
    ["apply", "show", "except", "add", "list", "remove", "drain"].contains(&word)
}

/// Runs a command.
pub(crate) async fn run(words: &[&str]) -> Result<Answer> {
    command().run_inner(words).expect("accepted arguments").run().await
}

/// Runs `test` beside a stand-in store.
pub(crate) fn with_store(test: impl AsyncFnOnce(Store)) {
    executor::run(async {
        let faults = Faults::default();
        let server = Server::new(faults.clone(), Counters::default(), 7);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        monoio::spawn(serve(listener, server, Rc::default()));
        let ended = monoio::time::timeout(HANG, test(Store { address, faults })).await;
        ended.expect("the test ends in time");
    })
    .expect("a runtime");
}

/// Writes a file for one test.
pub(crate) fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a written file");
    path.display().to_string()
}
