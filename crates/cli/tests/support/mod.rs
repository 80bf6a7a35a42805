//! Runs commands against a stand-in store.
#![allow(dead_code, reason = "each test file uses a subset")]

use monoio::net::TcpListener;
use shallotflow_cli::command::command;
use shallotflow_cli::error::Result;
use shallotflow_cli::output::Output;
use shallotflow_runtime::executor;
use shallotflow_standin::store::{Counters, Faults, Server, serve};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A running stand-in store.
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    pub(crate) faults: Faults,
}

impl Store {
    /// Runs a command with the address of the store.
    pub(crate) async fn run(&self, args: &[&str]) -> Result<Output> {
        let address = self.address.to_string();
        let store = ["--store", &address];
        // The address goes before the first argument that is not a subcommand.
        let at = args.iter().take_while(|arg| is_subcommand(arg)).count();
        run(&[&args[..at], &store, &args[at..]].concat()).await
    }

    /// Runs a command that must succeed and returns the revision that it prints.
    pub(crate) async fn apply(&self, args: &[&str]) -> i64 {
        let output = self.run(args).await.expect("an applied change");
        output.json["revision"].as_i64().expect("a revision")
    }
}

fn is_subcommand(arg: &str) -> bool {
    ["apply", "show", "except", "add", "list", "remove", "drain", "evacuate", "check"]
        .contains(&arg)
}

/// Runs a command.
pub(crate) async fn run(args: &[&str]) -> Result<Output> {
    command().run_inner(args).expect("accepted arguments").run().await
}

/// Runs `test` with a stand-in store.
pub(crate) fn with_store(test: impl AsyncFnOnce(Store)) {
    executor::run(async {
        let faults = Faults::default();
        let server = Server::new(faults.clone(), Counters::default(), 7);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        monoio::spawn(serve(listener, server, Rc::default()));
        let result = monoio::time::timeout(TEST_TIMEOUT, test(Store { address, faults })).await;
        result.expect("the test finishes within the timeout");
    })
    .expect("a runtime");
}

/// Writes a temporary file and returns its path.
pub(crate) fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a written file");
    path.display().to_string()
}
