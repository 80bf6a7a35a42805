//! What an agent knows of the worker that it is attached to.

use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_wire::control::Attached;

/// One attachment; a restart of the worker ends it.
#[derive(Clone, Debug)]
pub struct Attachment {
    /// Differs for each restart of the worker.
    pub boot: u64,
    /// The kinds that the target serves.
    pub kinds: Vec<Name>,
    theirs: Time,
    ours: Time,
}

impl Attachment {
    /// An attachment whose answer arrived at `received` on the agent's clock.
    pub fn new(attached: &Attached, received: Time) -> Self {
        Self {
            boot: attached.boot,
            kinds: attached.kinds.clone(),
            theirs: Time::from_micros(attached.now_us),
            ours: received,
        }
    }

    /// A point on the worker's clock that comes no later than `deadline` on the agent's.
    ///
    /// The worker read its clock before the answer arrived, so it ends a lease early by at most
    /// the time that the answer took.
    pub fn to_worker(&self, deadline: Time) -> Time {
        if deadline >= self.ours {
            return self.theirs.after(deadline.since(self.ours));
        }
        self.theirs.before(self.ours.since(deadline))
    }

    /// A point on the agent's clock that comes no earlier than `point` on the worker's.
    pub fn from_worker(&self, point: Time) -> Time {
        if point >= self.theirs {
            return self.ours.after(point.since(self.theirs));
        }
        self.ours.before(self.theirs.since(point))
    }
}
