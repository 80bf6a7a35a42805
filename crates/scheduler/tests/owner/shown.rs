//! States that an entry has shown from the store while the owner was silent.

use super::store::{Shared, Watches};
use super::{Process, job, run, until};
use event_listener::Event;
use futures_util::StreamExt;
use monoio::net::TcpListener;
use shallotflow_core::graph::{Id, State};
use shallotflow_scheduler::entry::{Settings, Submission, keys};
use shallotflow_scheduler::peers::{Call, Request, serve};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;

/// Long enough for an answer on a busy machine; the requests that the owner ignores take as long.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// What an owner ignores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Ignored {
    #[default]
    Nothing,
    /// Queries of states.
    States,
    /// Queries of states and notices of cancels.
    StatesAndCancels,
}

/// Starts an owner that other entries can call, except for what it ignores.
async fn start_owner(shared: &Rc<Shared>, ignored: &Rc<Cell<Ignored>>) -> Process {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let mut calls = serve(listener, Rc::new(Event::new()));
    let owner = Process::start_at(address, Process::settings(), "a", 1, shared);
    let (entry, ignored) = (owner.calls.clone(), ignored.clone());
    monoio::spawn(async move {
        let mut unanswered = Vec::new();
        while let Some(call) = calls.next().await {
            let ignore = match &call {
                Call::Ask(request, _) => match **request {
                    Request::State { .. } => ignored.get() != Ignored::Nothing,
                    Request::CancelStored { .. } => ignored.get() == Ignored::StatesAndCancels,
                    _ => false,
                },
                Call::Report(..) => false,
            };
            if ignore {
                unanswered.push(call);
            } else {
                entry.unbounded_send(call).expect("an entry that runs");
            }
        }
    });
    until(|| owner.owns()).await;
    owner
}

/// A cancel may be stored while its answer is lost and the owner's watch is silent. An entry that
/// gets no answer from the owner shows the cancel; later the owner answers without knowing it.
#[test_case(Ignored::States; "when the owner hears of it from the entry")]
#[test_case(Ignored::StatesAndCancels; "when the owner hears nothing until it answers again")]
fn a_job_that_was_shown_as_cancelled_stays_cancelled(ignores: Ignored) {
    run(async |shared| {
        let ignored = Rc::new(Cell::new(Ignored::Nothing));
        let owner = start_owner(&shared, &ignored).await;
        let settings = Settings { ask_limit: ASK_LIMIT, ..Process::settings() };
        let other = Process::start_with(settings, "b", 2, &shared);
        until(|| other.epoch() == owner.epoch()).await;
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        assert_eq!(other.entry.state("render", Id(1)).await, Ok(Some(State::Queued)));
        shared.set_watches(Watches::Silent);
        shared.put(&keys::cancel(Id(1)), "1", 0);
        assert_eq!(owner.entry.state("render", Id(1)).await, Ok(Some(State::Queued)));
        ignored.set(ignores);
        assert_eq!(other.entry.state("render", Id(1)).await, Ok(Some(State::Cancelled)));
        ignored.set(Ignored::Nothing);
        if ignores == Ignored::StatesAndCancels {
            assert_eq!(other.entry.state("render", Id(1)).await, Ok(Some(State::Cancelled)));
        }
        assert_eq!(owner.entry.state("render", Id(1)).await, Ok(Some(State::Cancelled)));
        assert_eq!(other.entry.state("render", Id(1)).await, Ok(Some(State::Cancelled)));
    });
}
