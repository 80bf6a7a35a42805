//! Relaying of requests between entries, for kinds that have no target at the first entry.

mod support;

use event_listener::Event;
use http::Request;
use monoio::net::TcpListener;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::Code;
use shallotflow_entry::Settings;
use shallotflow_standin::store::{Counters, Faults, Server, serve};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::{Agent, Entry, echo, settings};

fn store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = Server::new(Faults::default(), Counters::default(), 7);
    monoio::spawn(serve(listener, server, Rc::new(Event::new())));
    address
}

/// Starts two entries that find each other through the store.
async fn start_pair() -> [Entry; 2] {
    let store = vec![store()];
    let settings = |name: &str| Settings { name: name.into(), store: store.clone(), ..settings() };
    let entries =
        [Entry::start(settings("entry-1")).await, Entry::start(settings("entry-2")).await];
    for entry in &entries {
        let agent = Agent::start("worker-0", "probe", echo);
        while agent.report(entry).await.entries.len() < 2 {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    entries
}

#[test]
fn a_kind_with_targets_only_at_the_other_entry_is_served() {
    support::run(async {
        let [first, second] = start_pair().await;
        let agent = Agent::start("worker-1", "preview", echo);
        agent.report(&second).await;
        let answer = first.send(Request::post("/run/preview"), "across").await;
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"across"[..]));
        assert_eq!(answer.header("shallotflow-worker"), "worker-1");
        assert_eq!(agent.calls.get(), 1);
    });
}

#[test]
fn a_kind_without_targets_is_relayed_once_and_refused() {
    support::run(async {
        let [first, _second] = start_pair().await;
        let problem = first.send(Request::post("/run/preview"), "x").await.problem();
        assert_eq!((problem.code, problem.outcome), (Code::UnknownKind, Outcome::NotRun));
    });
}
