//! The directory of live entries.

use rand::Rng;
use rand::rngs::SmallRng;
use shallotflow_core::name::Name;
use std::net::SocketAddr;

/// An entry with its addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for agents and other entries.
    pub peers: SocketAddr,
}

/// The live entries, always including this one.
#[derive(Clone, Debug)]
pub struct Directory {
    own: Peer,
    others: Vec<Peer>,
}

impl Directory {
    /// Creates a directory with only this entry.
    pub fn new(own: Peer) -> Self {
        Self { own, others: Vec::new() }
    }

    /// Replaces the other entries; `entries` may contain this one, which is ignored.
    pub fn set(&mut self, entries: Vec<Peer>) {
        self.others = entries;
        self.others.retain(|peer| peer.name != self.own.name);
    }

    /// Returns the other entries.
    pub fn others(&self) -> &[Peer] {
        &self.others
    }

    /// Returns the addresses that agents report to, this entry first.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        std::iter::once(self.own.peers).chain(self.others.iter().map(|peer| peer.peers))
    }

    /// Returns at most `count` other entries, sampled at random without replacement.
    pub fn sample(&self, count: usize, rng: &mut SmallRng) -> Vec<Peer> {
        let mut sample = Vec::new();
        let mut remaining: Vec<usize> = (0..self.others.len()).collect();
        while sample.len() < count && !remaining.is_empty() {
            let index = remaining.swap_remove(rng.random_range(0..remaining.len()));
            sample.push(self.others[index].clone());
        }
        sample
    }
}
