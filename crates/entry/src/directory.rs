//! The live entries.

use rand::Rng;
use rand::rngs::SmallRng;
use shallotflow_core::name::Name;
use std::net::SocketAddr;

/// An entry as the others see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Where callers connect to it.
    pub callers: SocketAddr,
    /// Where agents and other entries connect to it.
    pub peers: SocketAddr,
}

/// The live entries; this one is always among them.
#[derive(Clone, Debug)]
pub struct Directory {
    own: Peer,
    others: Vec<Peer>,
}

impl Directory {
    /// A directory that knows no other entry.
    pub fn new(own: Peer) -> Self {
        Self { own, others: Vec::new() }
    }

    /// Replaces the entries known; this one is left out of `entries`.
    pub fn set(&mut self, entries: Vec<Peer>) {
        self.others = entries;
        self.others.retain(|peer| peer.name != self.own.name);
    }

    /// The other entries.
    pub fn others(&self) -> &[Peer] {
        &self.others
    }

    /// The addresses that agents report to.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        std::iter::once(self.own.peers).chain(self.others.iter().map(|peer| peer.peers))
    }

    /// At most `count` other entries, chosen at random without repetition.
    pub fn sample(&self, count: usize, rng: &mut SmallRng) -> Vec<Peer> {
        let mut sample = Vec::new();
        let mut left: Vec<usize> = (0..self.others.len()).collect();
        while sample.len() < count && !left.is_empty() {
            let index = left.swap_remove(rng.random_range(0..left.len()));
            sample.push(self.others[index].clone());
        }
        sample
    }
}
