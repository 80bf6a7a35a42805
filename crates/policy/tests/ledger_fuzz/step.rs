//! What may happen at any clock.

use proptest::prelude::*;

/// One step; numbers pick among what is there, modulo its count.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Time passes, milliseconds.
    Advance(u16),
    /// A caller submits a job to its owner.
    Submit { job: u8 },
    /// A submission that was not confirmed is taken back.
    Withdraw { job: u8 },
    /// A caller cancels a job at its owner.
    Cancel { job: u8 },
    /// An agent and an entry exchange a report and its answer, up to some stage.
    Exchange { agent: u8, entry: u8, stages: u8 },
    /// Every entry that runs renews its lease, claims ledgers and runs its timed systems.
    Keep,
    /// A worker starts every task that its agent has accepted.
    Start { agent: u8 },
    /// An agent reports to an entry; a report still outstanding there is abandoned.
    Report { agent: u8, entry: u8 },
    /// A message arrives.
    Deliver { message: u8 },
    /// A message arrives and will arrive again.
    Duplicate { message: u8 },
    /// A message is lost.
    Drop { message: u8 },
    /// An entry answers a report, with what is committed by now.
    Answer { entry: u8, report: u8 },
    /// An entry writes a segment.
    Write { entry: u8, ledger: u8, fate: Fate },
    /// A delayed write reaches the store.
    Late { write: u8 },
    /// An entry renews its lease.
    Renew { entry: u8 },
    /// An entry claims and releases ledgers.
    Claim { entry: u8 },
    /// An entry's timed systems run.
    Tick { entry: u8 },
    /// A worker gets on with a task.
    Work { agent: u8, task: u8, work: Work },
    /// An agent restarts; its worker keeps what runs.
    RestartAgent { agent: u8 },
    /// A worker restarts and loses everything, with its agent or without.
    Reboot { agent: u8, with_agent: bool },
    /// An entry stops gracefully and starts anew.
    Leave { entry: u8 },
    /// An entry is killed and starts anew.
    Kill { entry: u8 },
    /// An entry is paused, or goes on.
    Pause { entry: u8 },
}

/// What becomes of a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    /// It is answered.
    Answered,
    /// It is carried out, but the answer is lost.
    AnswerLost,
    /// It never arrives.
    Lost,
    /// It arrives much later.
    Delayed,
}

/// What a worker does with a task.
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
    let fate = prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Delayed),
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
        14 => Just(Step::Keep),
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
        8 => (n(), n(), fate)
            .prop_map(|(entry, ledger, fate)| Step::Write { entry, ledger, fate }),
        3 => n().prop_map(|write| Step::Late { write }),
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
