//! The entries behind the balancer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One entry behind the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where agents and other entries connect.
    pub peers: SocketAddr,
    /// Where its readiness is asked for.
    pub operators: SocketAddr,
}

/// The entries behind the balancer; clones share them, across threads.
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
    /// Adds an entry; it gets connections once it says that it is ready.
    pub fn add(&self, backend: Backend) {
        self.lock().push(Member { backend, ready: false });
    }

    /// Takes an entry out.
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
