use serde::Serialize;

/// Why a task whose step is open does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A predecessor may have started it at a worker whose agent has not reported yet.
    Uncertain,
    /// A run of it was ordered to stop and has not ended.
    Stopping,
    /// Its start was ordered and is not answered.
    Starting,
    /// It failed or did not start, and is retried after a pause.
    Retry,
    /// The crash of a worker under it is not recorded yet.
    Unrecorded,
    /// It may have crashed its worker, and no worker is found where it can start alone.
    Trial,
    /// Another task of its job may have crashed a worker, and the result of its trial is awaited.
    Held,
    /// Another member of its gang starts, runs, stops or pauses.
    Gang,
    /// Its job is not expected to end within its objective, and other work goes first.
    Postponed,
    /// The repetition that it belongs to is not due.
    NotDue,
    /// It could start elsewhere, but a slot in its rack is expected soon.
    Rack,
    /// It would disturb serving tasks wherever there is room.
    Disturbing,
    /// The workers with room are kept for the trials of other tasks.
    Kept,
    /// The workers with room run as many tasks of its step as it allows on one worker.
    WorkerLimit,
    /// The workers with room have no idle processors, and each runs a best-effort task already.
    Busy,
    /// The store does not list the agents of the workers with room as possible holders of runs yet.
    HolderUnrecorded,
    /// The workers with room have just refused a start.
    Refused,
    /// The agents of the workers with room have not received their latest orders.
    OrdersUnreceived,
    /// The workers with room hold as many runs as one may.
    RunLimit,
    /// The workers with room are ejected.
    Ejected,
    /// The agents of the workers with room do not report.
    Silent,
    /// The workers with room leave, are silent, have not registered or have not listed their runs.
    Unready,
    /// The workers with room are in evacuated failure domains.
    Evacuated,
    /// The workers that could have room run something whose need is not known.
    UnknownRun,
    /// No worker has room.
    NoRoom,
    /// There is room for some members of its gang, but not for all.
    GangRoom,
    /// No worker of its service is large enough and has the label that it requires.
    Unsuited,
    /// The owner may have a successor, and starts nothing.
    Successor,
    /// No rule holds it: the next pass is to start it.
    Startable,
    /// It counts as running, but its worker lists other runs without it.
    RunUnlisted,
    /// It counts as running, but its worker or the agent is silent.
    RunSilent,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Self; 31] = [
        Self::Uncertain,
        Self::Stopping,
        Self::Starting,
        Self::Retry,
        Self::Unrecorded,
        Self::Trial,
        Self::Held,
        Self::Gang,
        Self::Postponed,
        Self::NotDue,
        Self::Rack,
        Self::Disturbing,
        Self::Kept,
        Self::WorkerLimit,
        Self::Busy,
        Self::HolderUnrecorded,
        Self::Refused,
        Self::OrdersUnreceived,
        Self::RunLimit,
        Self::Ejected,
        Self::Silent,
        Self::Unready,
        Self::Evacuated,
        Self::UnknownRun,
        Self::NoRoom,
        Self::GangRoom,
        Self::Unsuited,
        Self::Successor,
        Self::Startable,
        Self::RunUnlisted,
        Self::RunSilent,
    ];

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Uncertain => "uncertain",
            Self::Stopping => "stopping",
            Self::Starting => "starting",
            Self::Retry => "retry",
            Self::Unrecorded => "unrecorded",
            Self::Trial => "trial",
            Self::Held => "held",
            Self::Gang => "gang",
            Self::Postponed => "postponed",
            Self::NotDue => "not-due",
            Self::Rack => "rack",
            Self::Disturbing => "disturbing",
            Self::Kept => "kept",
            Self::WorkerLimit => "worker-limit",
            Self::Busy => "busy",
            Self::HolderUnrecorded => "holder-unrecorded",
            Self::Refused => "refused",
            Self::OrdersUnreceived => "orders-unreceived",
            Self::RunLimit => "run-limit",
            Self::Ejected => "ejected",
            Self::Silent => "silent",
            Self::Unready => "unready",
            Self::Evacuated => "evacuated",
            Self::UnknownRun => "unknown-run",
            Self::NoRoom => "no-room",
            Self::GangRoom => "gang-room",
            Self::Unsuited => "unsuited",
            Self::Successor => "successor",
            Self::Startable => "startable",
            Self::RunUnlisted => "run-unlisted",
            Self::RunSilent => "run-silent",
        }
    }
}
