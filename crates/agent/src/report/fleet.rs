//! Selects the entries that the agent reports to.

use super::Wake;
use super::session::Session;
use crate::agent::Agent;
use crate::state::State;
use foldhash::fast::FixedState;
use shallotflow_wire::proto;
use std::collections::BTreeSet;
use std::collections::hash_map::Entry;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps a session with each selected entry; never returns.
pub(crate) async fn follow_entries(agent: Agent) {
    loop {
        let wanted = select_entries(&agent);
        let added = agent.state_mut().keep_sessions(&wanted);
        for (entry, wake) in added {
            monoio::spawn(Session::new(agent.clone(), entry, wake).run());
        }
        monoio::time::sleep(REVIEW_INTERVAL).await;
    }
}

/// Selects the first entries in the order of a rendezvous hash with the worker's name, so that a
/// change of one entry moves few sessions.
fn select_entries(agent: &Agent) -> BTreeSet<SocketAddr> {
    let state = agent.state();
    let settings = agent.settings();
    let known = if state.entries.is_empty() { &settings.entries } else { &state.entries };
    let hasher = FixedState::default();
    let mut ranked: Vec<SocketAddr> = known.clone();
    ranked.sort_by_key(|entry| hasher.hash_one((&settings.worker, entry)));
    ranked.dedup();
    ranked.truncate(settings.report_to.max(1));
    ranked.into_iter().collect()
}

impl State {
    /// Removes the sessions of other entries than `wanted`; returns the sessions to open.
    fn keep_sessions(&mut self, wanted: &BTreeSet<SocketAddr>) -> Vec<(SocketAddr, Rc<Wake>)> {
        let ended = self.sessions.extract_if(|entry, _| !wanted.contains(entry));
        ended.for_each(|(_, wake)| wake.notify());
        let mut added = Vec::new();
        for &entry in wanted {
            if let Entry::Vacant(vacant) = self.sessions.entry(entry) {
                let wake = vacant.insert(Rc::default());
                added.push((entry, wake.clone()));
            }
        }
        added
    }

    /// Applies the entries, ledger owners and configuration revision of a reply.
    pub(super) fn apply_reply(&mut self, from: SocketAddr, reply: &proto::ReportReply) {
        let entries = reply.entries.iter().filter_map(|entry| entry.parse().ok());
        let entries: Vec<SocketAddr> = entries.collect();
        if !entries.is_empty() {
            self.entries = entries;
        }
        for owned in &reply.owned {
            self.owners.insert(owned.ledger, from);
        }
        self.config.observe_revision(reply.config_revision);
    }
}
