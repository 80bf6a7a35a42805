//! Jobs of several tasks. One entry owns the table of all these jobs; every entry accepts requests
//! about them.

use crate::state::State;
use crate::{Settings, tick};
use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_core::graph::Queue;
use shallotflow_core::name::Name;
use shallotflow_scheduler::entry::{self, Entry};
use shallotflow_scheduler::peers;
use shallotflow_store::store::Store;
use std::rc::Rc;

/// The number of failed runs of one task after which its job fails; the same as for batch jobs of
/// one task.
const MAX_ATTEMPTS: u32 = 5;

/// Creates the entry of graph jobs, which [`join`] starts.
///
/// # Errors
///
/// Fails when the listener's address cannot be read.
pub(crate) fn entry(
    settings: &Settings,
    listener: &TcpListener,
    store: Rc<dyn Store>,
) -> std::io::Result<Rc<Entry>> {
    let address = settings.graphs_announce.map_or_else(|| listener.local_addr(), Ok)?;
    let limits = entry::Settings::default();
    Ok(Entry::new(limits, settings.name.clone(), rand::random(), address, store))
}

/// Joins the election of the table's owner, and serves agents and other entries.
///
/// It waits for the fleet configuration first, because an owner must not start tasks in failure
/// domains that are evacuated. No entry can become the owner while the store cannot be read.
pub(crate) async fn join(state: Rc<State>, listener: TcpListener, stop: Rc<Event>) {
    let Some(entry) = &state.graphs else { return };
    state.config.wait_until_read().await;
    tick::update_evacuations(&state);
    entry.start(peers::serve(listener, stop));
}

/// Returns the queue for jobs of `kind`, with their `priority` from the fleet configuration.
pub(crate) fn queue(kind: Name, priority: u8) -> Queue {
    Queue {
        name: kind,
        service: Queue::SERVICE.into(),
        // A higher number means a higher priority in the fleet configuration, but a lower one in
        // queues.
        priority: u32::from(u8::MAX - priority),
        attempts: MAX_ATTEMPTS,
        ..Queue::default()
    }
}
