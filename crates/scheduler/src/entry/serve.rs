//! Serves the calls of agents and of other entries.

use super::activity::Activity;
use super::member::Owner;
use super::{Cancellation, Entry, membership};
use crate::peers::{Call, Request, Response};
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
            // A caller that has disconnected has no use for the answer.
            match call {
                Call::Report(report, sender) => {
                    let _ = sender.send(handle_report(&entry, *report).await);
                }
                Call::Ask(request, sender) => {
                    let _ = sender.send(handle_request(&entry, *request).await);
                }
            }
        });
    }
}

/// Applies a report; the reply waits until there is an update for the agent.
async fn handle_report(entry: &Rc<Entry>, report: Report) -> Reply {
    let agent = report.agent.clone();
    let (process, sequence, epoch) = (report.process, report.sequence, report.epoch);
    let now = Boottime.now();
    let deadline = now.after(entry.settings.reply_wait);
    // A successor waits for the leases that were renewed before its claim, and for no later ones.
    let may_renew = entry.has_no_successor(now);
    let recorded = {
        let mut guard = entry.ownership.borrow_mut();
        let Some(ownership) = guard.as_mut() else { return redirect(entry) };
        if epoch > ownership.table.epoch() && !entry.is_present(now) {
            // Agents know only the epochs of entries that have claimed the table.
            drop(guard);
            entry.give_up("an agent knows a later owner");
            return redirect(entry);
        }
        if epoch != ownership.table.epoch() {
            let entries = entry.view.borrow().entries.values().map(|p| p.address).collect();
            let epoch = ownership.table.epoch();
            return Reply { epoch, owned: true, entries, ..Reply::default() };
        }
        let recorded = ownership.table.workers().get(&agent).map_or(0, |worker| worker.recorded);
        ownership.table.apply_report(report, now);
        Activity::count(&entry.activity.reports, 1);
        recorded
    };
    entry.decision_due.notify(usize::MAX);
    let news = entry.news_of(&agent);
    // A former report of the agent needs no reply of its own any more.
    news.notify(usize::MAX);
    loop {
        let ordered = news.listen();
        {
            let ownership = entry.ownership.borrow();
            let Some(ownership) = ownership.as_ref() else { return redirect(entry) };
            let latest = ownership.table.workers().get(&agent);
            let latest = latest.is_some_and(|w| w.process == process && w.sequence == sequence);
            let has_update = ownership.table.has_updates(&agent, recorded);
            if !latest || has_update || deadline.passed(Boottime.now()) {
                Activity::count(&entry.activity.replies, 1);
                // A later report may have arrived meanwhile; its own reply decides on it.
                let may_renew = may_renew && ownership.table.may_renew(&agent);
                let sequence = if may_renew { sequence } else { 0 };
                return Reply { sequence, ..ownership.table.reply(&agent) };
            }
        }
        monoio::select! {
            _ = ordered => {}
            () = monoio::time::sleep(deadline.remaining(Boottime.now())) => {}
        }
    }
}

/// Replies with the owner of the table, as far as this entry knows it.
fn redirect(entry: &Rc<Entry>) -> Reply {
    let view = entry.view.borrow();
    let owner = view.owner.as_ref().filter(|owner| !owner.entry.is_empty());
    let other = owner.filter(|owner| owner.process != entry.process);
    Reply {
        epoch: owner.map_or(0, |owner| owner.epoch),
        owned: false,
        owner: other.map(|owner| owner.address),
        entries: view.entries.values().map(|presence| presence.address).collect(),
        ..Reply::default()
    }
}

async fn handle_request(entry: &Rc<Entry>, request: Request) -> Response {
    Activity::count(&entry.activity.requests, 1);
    match request {
        Request::Status { epoch, store_age_ms } => {
            membership::record_store_contact(entry, store_age_ms);
            status(entry, epoch)
        }
        Request::State { queue, id } => match &*entry.ownership.borrow() {
            Some(ownership) => Response::State(ownership.table.visible_state(&queue, id)),
            None => Response::NotOwner,
        },
        Request::Waiting { queue } => match &*entry.ownership.borrow() {
            Some(ownership) => {
                let waiting = ownership.table.waiting(&queue);
                Response::Waiting(u64::try_from(waiting).unwrap_or(u64::MAX))
            }
            None => Response::NotOwner,
        },
        Request::JobStored { id, job, claim } => {
            if entry.accept_stored(id, job, claim) {
                Response::Acknowledged
            } else {
                Response::NotOwner
            }
        }
        Request::CancelStored { id } => {
            if entry.apply_cancel(id) {
                Response::Acknowledged
            } else {
                Response::NotOwner
            }
        }
        Request::Submit { id, job } => Response::Submitted(entry.store_job(id, &job).await),
        Request::Withdraw { queue, id } => {
            Response::Withdrawn(match entry.store_cancel(&queue, id).await {
                Cancellation::Cancelled => Some(true),
                Cancellation::Absent => Some(false),
                Cancellation::Unknown => None,
            })
        }
    }
}

/// Returns the status of this entry; an entry that learns of a later owner gives its table up.
fn status(entry: &Rc<Entry>, epoch: u64) -> Response {
    let owned_epoch = entry.ownership.borrow().as_ref().map(|ownership| ownership.table.epoch());
    if owned_epoch.is_some_and(|owned_epoch| owned_epoch < epoch) {
        entry.give_up("another entry knows a later owner");
    }
    let view = entry.view.borrow();
    let owner: Option<&Owner> = view.owner.as_ref();
    let ownership = entry.ownership.borrow();
    Response::Status {
        epoch: owner.map_or(0, |owner| owner.epoch),
        // Nobody may claim the table while its owner claims and loads it, however long that takes.
        owned: ownership.is_some() || entry.claimed.get().is_some(),
        sizes: ownership
            .as_ref()
            .map(|ownership| ownership.table.sizes().clone())
            .unwrap_or_default(),
        owner: owner.map(|owner| owner.address),
        store_age_ms: entry.store_age_ms(),
        backlog: ownership
            .as_ref()
            .map(|ownership| ownership.table.advertisement())
            .unwrap_or_default(),
    }
}
