//! The attachment of an agent to its worker, and the conversion between their clocks.

use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_wire::control::Attached;

/// An attachment; a restart of the worker ends it.
#[derive(Clone, Debug)]
pub struct Attachment {
    /// Identifies the worker's process; differs after each restart.
    pub boot: u64,
    /// The kinds that the target serves.
    pub kinds: Vec<Name>,
    /// The same point in time on the worker's clock and on the agent's.
    worker_time: Time,
    agent_time: Time,
}

impl Attachment {
    /// Creates an attachment from an answer that arrived at `received` on the agent's clock.
    pub fn new(attached: &Attached, received: Time) -> Self {
        Self {
            boot: attached.boot,
            kinds: attached.kinds.clone(),
            worker_time: Time::from_micros(attached.now_us),
            agent_time: received,
        }
    }

    /// Converts a deadline to the worker's clock; the result is never later than `deadline`.
    ///
    /// The worker read its clock before the answer arrived, so a lease ends early by at most the
    /// time that the answer took.
    pub fn to_worker(&self, deadline: Time) -> Time {
        if deadline >= self.agent_time {
            return self.worker_time.after(deadline.since(self.agent_time));
        }
        self.worker_time.before(self.agent_time.since(deadline))
    }

    /// Converts a time to the agent's clock; the result is never earlier than `point` on the
    /// worker's clock.
    pub fn from_worker(&self, point: Time) -> Time {
        if point >= self.worker_time {
            return self.agent_time.after(point.since(self.worker_time));
        }
        self.agent_time.before(self.worker_time.since(point))
    }
}
