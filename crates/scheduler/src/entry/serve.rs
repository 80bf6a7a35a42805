//! The calls of agents and of other entries.

use super::holder::Holder;
use super::{Cancellation, Entry, membership};
use crate::peers::{Answer, Call, Question};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::message::{Reply, Report};
use shallotflow_runtime::clock::Boottime;
use std::rc::Rc;

/// Serves calls until the process ends.
pub(super) async fn serve(entry: Rc<Entry>, mut calls: UnboundedReceiver<Call>) {
    while let Some(call) = calls.next().await {
        let entry = entry.clone();
        monoio::spawn(async move {
            // A caller that has gone has no use for the answer.
            match call {
                Call::Report(report, sender) => {
                    let _ = sender.send(hear(&entry, *report).await);
                }
                Call::Ask(question, sender) => {
                    let _ = sender.send(answer(&entry, *question).await);
                }
            }
        });
    }
}

/// Takes a report in; the reply waits until there is something to tell.
async fn hear(entry: &Rc<Entry>, report: Report) -> Reply {
    let agent = report.agent.clone();
    let (process, sequence, epoch) = (report.process, report.sequence, report.epoch);
    let now = Boottime.now();
    let deadline = now.after(entry.settings.reply_wait);
    let recorded = {
        let mut reign = entry.reign.borrow_mut();
        let Some(reign) = reign.as_mut() else { return elsewhere(entry) };
        if epoch != reign.table.epoch() {
            let entries = entry.known.borrow().entries.values().map(|p| p.address).collect();
            let epoch = reign.table.epoch();
            return Reply { epoch, owned: true, entries, ..Reply::default() };
        }
        let before = reign.table.workers().get(&agent).map_or(0, |worker| worker.recorded);
        reign.table.apply_report(report, now);
        before
    };
    entry.wake.notify(usize::MAX);
    entry.ordered.notify(usize::MAX);
    loop {
        let ordered = entry.ordered.listen();
        {
            let reign = entry.reign.borrow();
            let Some(reign) = reign.as_ref() else { return elsewhere(entry) };
            let latest = reign.table.workers().get(&agent);
            let latest = latest.is_some_and(|w| w.process == process && w.sequence == sequence);
            let news = reign.table.has_updates(&agent, recorded);
            if !latest || news || deadline.passed(Boottime.now()) {
                return reign.table.reply(&agent);
            }
        }
        monoio::select! {
            _ = ordered => {}
            () = monoio::time::sleep(deadline.remaining(Boottime.now())) => {}
        }
    }
}

/// Says who owns the table, as far as this entry knows.
fn elsewhere(entry: &Rc<Entry>) -> Reply {
    let known = entry.known.borrow();
    let holder = known.holder.as_ref().filter(|holder| !holder.entry.is_empty());
    let other = holder.filter(|holder| holder.process != entry.process);
    Reply {
        epoch: holder.map_or(0, |holder| holder.epoch),
        owned: false,
        owner: other.map(|holder| holder.address),
        entries: known.entries.values().map(|presence| presence.address).collect(),
        ..Reply::default()
    }
}

async fn answer(entry: &Rc<Entry>, question: Question) -> Answer {
    match question {
        Question::Standing { epoch, store_age_ms } => {
            membership::note_standing(entry, store_age_ms);
            standing(entry, epoch)
        }
        Question::State { queue, id } => match &*entry.reign.borrow() {
            Some(reign) => Answer::State(reign.table.visible_state(&queue, id)),
            None => Answer::NotOwner,
        },
        Question::Waiting { queue } => match &*entry.reign.borrow() {
            Some(reign) => {
                let waiting = reign.table.waiting(&queue);
                Answer::Waiting(u64::try_from(waiting).unwrap_or(u64::MAX))
            }
            None => Answer::NotOwner,
        },
        Question::Offer { id, job } => {
            if entry.take_offer(id, job) {
                Answer::Noted
            } else {
                Answer::NotOwner
            }
        }
        Question::Cancel { id } => {
            if entry.take_cancel(id) {
                Answer::Noted
            } else {
                Answer::NotOwner
            }
        }
        Question::Submit { id, job } => Answer::Submitted(entry.store_job(id, &job).await),
        Question::Withdraw { queue, id } => {
            Answer::Withdrawn(match entry.store_cancel(&queue, id).await {
                Cancellation::Cancelled => Some(true),
                Cancellation::Absent => Some(false),
                Cancellation::Unknown => None,
            })
        }
    }
}

/// How this entry stands; one that hears of a later owner than itself gives its table up.
fn standing(entry: &Rc<Entry>, epoch: u64) -> Answer {
    let own = entry.reign.borrow().as_ref().map(|reign| reign.table.epoch());
    if own.is_some_and(|own| own < epoch) {
        entry.give_up("another entry knows a later owner");
    }
    let known = entry.known.borrow();
    let holder: Option<&Holder> = known.holder.as_ref();
    let reign = entry.reign.borrow();
    Answer::Standing {
        epoch: holder.map_or(0, |holder| holder.epoch),
        owned: reign.is_some(),
        sizes: reign.as_ref().map(|reign| reign.table.sizes().clone()).unwrap_or_default(),
        owner: holder.map(|holder| holder.address),
        store_age_ms: entry.store_age_ms(),
    }
}
