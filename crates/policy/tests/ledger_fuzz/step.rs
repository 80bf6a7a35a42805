//! The events that a test case consists of.

use proptest::prelude::*;

/// One event; numbers select an existing item, modulo the number of items.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Time advances, milliseconds.
    Advance(u16),
    /// A caller submits a job to its owner.
    Submit { job: u8 },
    /// A submission that was not confirmed is withdrawn.
    Withdraw { job: u8 },
    /// A caller cancels a job at its owner.
    Cancel { job: u8 },
    /// An agent and an entry exchange a report and its reply, up to some stage.
    Exchange { agent: u8, entry: u8, stages: u8 },
    /// Every running entry renews its lease, claims ledgers and runs its periodic work.
    Maintain,
    /// A worker starts all tasks that its agent has accepted.
    Start { agent: u8 },
    /// An agent reports to an entry, and abandons a report that is still in flight there.
    Report { agent: u8, entry: u8 },
    /// A message arrives.
    Deliver { message: u8 },
    /// A message arrives and stays in flight, so that it may arrive again.
    Duplicate { message: u8 },
    /// A message is lost.
    Drop { message: u8 },
    /// An entry replies to a report with the decisions that are committed.
    Answer { entry: u8, report: u8 },
    /// An entry writes a segment.
    Write { entry: u8, ledger: u8, outcome: Outcome },
    /// A delayed write reaches the store.
    DeliverWrite { write: u8 },
    /// An entry renews its lease.
    Renew { entry: u8 },
    /// An entry claims and releases ledgers.
    Claim { entry: u8 },
    /// An entry runs its periodic work.
    Tick { entry: u8 },
    /// A worker makes progress on a task.
    Work { agent: u8, task: u8, work: Work },
    /// An agent restarts; its worker keeps running tasks.
    RestartAgent { agent: u8 },
    /// A worker restarts and loses all tasks, with or without its agent.
    Reboot { agent: u8, with_agent: bool },
    /// An entry stops gracefully and starts again.
    Leave { entry: u8 },
    /// An entry is killed and starts again.
    Kill { entry: u8 },
    /// An entry pauses or resumes.
    Pause { entry: u8 },
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Outcome {
    /// It is applied and confirmed.
    Confirmed,
    /// It is applied, but the confirmation is lost.
    ConfirmationLost,
    /// It never reaches the store.
    Lost,
    /// It reaches the store much later.
    Delayed,
}

/// An action of a worker on a task.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Work {
    Start,
    Checkpoint,
    Finish,
    Fail,
    Evict,
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let n = any::<u8>;
    let outcome = prop_oneof![
        6 => Just(Outcome::Confirmed),
        1 => Just(Outcome::ConfirmationLost),
        1 => Just(Outcome::Lost),
        1 => Just(Outcome::Delayed),
    ];
    let work = prop_oneof![
        4 => Just(Work::Start),
        1 => Just(Work::Checkpoint),
        2 => Just(Work::Finish),
        1 => Just(Work::Fail),
        1 => Just(Work::Evict),
    ];
    prop_oneof![
        24 => (n(), n(), 1..6_u8)
            .prop_map(|(agent, entry, stages)| Step::Exchange { agent, entry, stages }),
        24 => (n(), n()).prop_map(|(agent, entry)| Step::Exchange { agent, entry, stages: 5 }),
        14 => Just(Step::Maintain),
        10 => n().prop_map(|agent| Step::Start { agent }),
        12 => (1..250_u16).prop_map(Step::Advance),
        1 => (250..1_500_u16).prop_map(Step::Advance),
        1 => (990..1_060_u16).prop_map(Step::Advance),
        3 => n().prop_map(|job| Step::Submit { job }),
        1 => n().prop_map(|job| Step::Withdraw { job }),
        2 => n().prop_map(|job| Step::Cancel { job }),
        4 => (n(), n()).prop_map(|(agent, entry)| Step::Report { agent, entry }),
        8 => n().prop_map(|message| Step::Deliver { message }),
        2 => n().prop_map(|message| Step::Duplicate { message }),
        1 => n().prop_map(|message| Step::Drop { message }),
        4 => (n(), n()).prop_map(|(entry, report)| Step::Answer { entry, report }),
        8 => (n(), n(), outcome)
            .prop_map(|(entry, ledger, outcome)| Step::Write { entry, ledger, outcome }),
        3 => n().prop_map(|write| Step::DeliverWrite { write }),
        1 => n().prop_map(|entry| Step::Renew { entry }),
        1 => n().prop_map(|entry| Step::Claim { entry }),
        1 => n().prop_map(|entry| Step::Tick { entry }),
        14 => (n(), n(), work).prop_map(|(agent, task, work)| Step::Work { agent, task, work }),
        1 => n().prop_map(|agent| Step::RestartAgent { agent }),
        1 => (n(), any::<bool>())
            .prop_map(|(agent, with_agent)| Step::Reboot { agent, with_agent }),
        2 => n().prop_map(|entry| Step::Leave { entry }),
        1 => n().prop_map(|entry| Step::Kill { entry }),
        2 => n().prop_map(|entry| Step::Pause { entry }),
    ]
}
