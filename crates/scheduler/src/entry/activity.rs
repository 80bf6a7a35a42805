use std::cell::Cell;

/// What an owner has done since the last log line, to relate its processor use to its load.
#[derive(Debug, Default)]
pub(super) struct Activity {
    /// Reports that were applied.
    pub(super) reports: Cell<u64>,
    /// Replies that were sent to agents.
    pub(super) replies: Cell<u64>,
    /// Requests of other entries.
    pub(super) requests: Cell<u64>,
    /// Passes over the table.
    pub(super) passes: Cell<u64>,
    /// Decisions and observations.
    pub(super) events: Cell<u64>,
    /// Transactions with progress records.
    pub(super) commits: Cell<u64>,
}

impl Activity {
    /// Adds `count` to one of the counters.
    pub(super) fn count(counter: &Cell<u64>, count: u64) {
        counter.set(counter.get() + count);
    }

    /// Logs the counts since the last call.
    pub(super) fn log(&self, workers: usize, jobs: usize) {
        let Self { reports, replies, requests, passes, events, commits } = self;
        spdlog::info!("owner activity", kv: {
            workers, jobs, reports = reports.take(), replies = replies.take(),
            requests = requests.take(), passes = passes.take(), events = events.take(),
            commits = commits.take()
        });
    }
}
