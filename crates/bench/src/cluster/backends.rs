//! The entries behind the balancer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One entry behind the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for agents and other entries.
    pub peers: SocketAddr,
    /// Address of the readiness endpoint.
    pub operators: SocketAddr,
}

/// The entries behind the balancer; clones share the list, also across threads.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    members: Arc<Mutex<Vec<Member>>>,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    backend: Backend,
    ready: bool,
}

impl Backends {
    /// Adds an entry; it receives connections once it reports that it is ready.
    pub fn add(&self, backend: Backend) {
        self.lock().push(Member { backend, ready: false });
    }

    /// Removes an entry.
    pub fn remove(&self, backend: &Backend) {
        self.lock().retain(|member| member.backend != *backend);
    }

    pub(super) fn all(&self) -> Vec<Backend> {
        self.lock().iter().map(|member| member.backend).collect()
    }

    pub(super) fn ready(&self) -> Vec<Backend> {
        let members = self.lock();
        members.iter().filter(|member| member.ready).map(|member| member.backend).collect()
    }

    pub(super) fn set_ready(&self, backend: &Backend, ready: bool) {
        let mut members = self.lock();
        let found = members.iter_mut().find(|member| member.backend == *backend);
        if let Some(member) = found {
            member.ready = ready;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Member>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
