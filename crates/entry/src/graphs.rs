//! Jobs of several tasks. One entry owns the table of all these jobs; every entry accepts requests
//! about them.

use crate::Settings;
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

/// Joins the election of the table's owner, and serves agents and other entries.
///
/// # Errors
///
/// Fails when the listener's address cannot be read.
pub(crate) fn start(
    settings: &Settings,
    listener: TcpListener,
    store: Rc<dyn Store>,
    stop: Rc<Event>,
) -> std::io::Result<Rc<Entry>> {
    let address = settings.graphs_announce.map_or_else(|| listener.local_addr(), Ok)?;
    let limits = entry::Settings::default();
    let entry = Entry::new(limits, settings.name.clone(), rand::random(), address, store);
    entry.start(peers::serve(listener, stop));
    Ok(entry)
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
