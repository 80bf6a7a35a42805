//! Jobs of several tasks: one entry owns the table of them all, and every entry answers for them.

use crate::Settings;
use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_core::graph::Queue;
use shallotflow_core::name::Name;
use shallotflow_scheduler::entry::{self, Entry};
use shallotflow_scheduler::peers;
use shallotflow_store::store::Store;
use std::rc::Rc;

/// Failed runs of one task after which its job has failed; as for batch jobs of one task.
const ATTEMPTS: u32 = 5;

/// Starts to take part in the ownership of the table, and serves agents and other entries.
///
/// # Errors
///
/// Fails when the system does not tell the listener's address.
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

/// How jobs of `kind` are run, with the fleet configuration's `priority` for them.
pub(crate) fn queue(kind: Name, priority: u8) -> Queue {
    Queue {
        name: kind,
        service: Queue::SERVICE.into(),
        // The fleet configuration counts upwards, queues count down.
        priority: u32::from(u8::MAX - priority),
        attempts: ATTEMPTS,
        ..Queue::default()
    }
}
