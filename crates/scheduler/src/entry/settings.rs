use shallotflow_policy::plan::{self, Lease};
use std::sync::Arc;
use std::time::Duration;

/// The part of an entry's presence by which [`Lease::wait`] exceeds the leases that it covers.
const PRESENCE_MARGIN: Duration = Duration::from_millis(200);

/// The limits of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The relative strength of the entry's machine.
    pub strength: u32,
    /// Delay before an entry that finds no owner at all claims the table, so that stronger entries
    /// can announce themselves; all processes of a new system start within this time.
    pub first_claim: Duration,
    /// Time without claims after a claim that could not be completed.
    pub claim_pause: Duration,
    /// An owner that reports for this long that it does not own the table may be replaced.
    pub disowned_limit: Duration,
    /// An entry whose presence stays overwritten by another writer for this long is absent; longer
    /// than a silent watch and the read after it take, by which a running entry learns of it.
    pub overwritten_limit: Duration,
    /// Duration of the lease of the entry's presence; the shortest that the store grants.
    pub presence_lease: Duration,
    /// Interval between two renewals of the presence; a third of its lease.
    pub renewal_interval: Duration,
    /// Longest time that the reply to a report waits for orders.
    pub reply_wait: Duration,
    /// Timeout of a request to another entry; a hundred round trips between failure domains.
    pub ask_limit: Duration,
    /// Interval between two polls of the owner's status.
    pub status_interval: Duration,
    /// Interval at which an owner that the store does not answer asks the other entries for their status.
    pub claimant_interval: Duration,
    /// How long the statement of another entry that it has not claimed the table holds: it may claim right after
    /// that. Shorter than the part of the presence by which a successor waits longer than for the leases.
    pub witness_limit: Duration,
    /// An owner that has had no answer of the store for this long gives the table up if the store
    /// answers another entry.
    pub store_silence: Duration,
    /// An owner that has had no answer of the store or of another entry for this long gives the
    /// table up.
    pub isolation_limit: Duration,
    /// Maximum difference between the times at which the store last answered two entries that it
    /// stopped answering together; two renewals.
    pub contact_slack: Duration,
    /// Interval between two checks of the deadlines.
    pub tick: Duration,
    /// Pause after a failed call to the store.
    pub store_pause: Duration,
    /// Longest time for which storing a job is tried before its caller gets an answer.
    pub submit_limit: Duration,
    /// Timeout of the check whether a job is stored before it is refused; refusals are due within
    /// 50 ms.
    pub refusal_limit: Duration,
    /// How long after a call to store a job its result may be unknown; longer than any delayed
    /// call to the store lasts.
    pub unsettled_limit: Duration,
    /// Time without a report of a larger worker before a job is refused as too large; two of the
    /// workers' own reports.
    pub sizes_settle: Duration,
    /// Interval at which the learned disturbance rates are stored; it takes some ten seconds to
    /// learn them.
    pub learned_interval: Duration,
    /// How long the state of an ended job is kept.
    pub retention: Duration,
    /// Delay between the claims of two entries that find an owner absent, multiplied by the entry's
    /// rank.
    pub claim_stagger: Duration,
    /// Longest lease of a worker's runs that the entry, as the owner, lets agents renew; the same at all
    /// entries, since a successor waits for the leases of its predecessor.
    pub lease: Lease,
    /// Prefix of the keys by which operators request the evacuation of a failure domain; `None`
    /// where that does not exist.
    pub evacuation_prefix: Option<Arc<str>>,
    /// Interval at which these requests are read again although no change is known: a watch may
    /// be silent for longer than a request may take to apply.
    pub evacuation_interval: Duration,
    /// Factor by which a task takes longer outside the rack of its data or of its group; `None` for
    /// the default of [`shallotflow_policy::plan::Settings`].
    pub spread_factor: Option<f64>,
    /// Interval at which the tasks that do not run are reported by reason.
    pub wait_interval: Duration,
    /// Length from which on a wait is logged, and shortest time between two lines on one step; above
    /// the usual waits for an answer or a pause.
    pub logged_wait: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            strength: 1,
            first_claim: Duration::from_millis(700),
            claim_pause: Duration::from_millis(2_000),
            disowned_limit: Duration::from_millis(2_000),
            overwritten_limit: Duration::from_millis(8_000),
            presence_lease: Duration::from_millis(1_000),
            renewal_interval: Duration::from_millis(330),
            reply_wait: Duration::from_millis(400),
            ask_limit: Duration::from_millis(250),
            status_interval: Duration::from_millis(400),
            claimant_interval: Duration::from_millis(150),
            witness_limit: Duration::from_millis(600),
            store_silence: Duration::from_millis(1_100),
            isolation_limit: Duration::from_millis(2_500),
            contact_slack: Duration::from_millis(800),
            tick: Duration::from_millis(25),
            store_pause: Duration::from_millis(60),
            submit_limit: Duration::from_millis(800),
            refusal_limit: Duration::from_millis(40),
            unsettled_limit: Duration::from_secs(10),
            sizes_settle: Duration::from_millis(3_000),
            learned_interval: Duration::from_millis(3_000),
            retention: plan::Settings::default().retention,
            claim_stagger: Duration::from_millis(60),
            lease: Lease::default(),
            evacuation_prefix: None,
            evacuation_interval: Duration::from_millis(1_500),
            spread_factor: None,
            wait_interval: Duration::from_millis(1_000),
            logged_wait: Duration::from_millis(2_000),
        }
    }
}

impl Settings {
    /// Returns the limits of the table that the entry owns.
    pub fn limits(&self) -> plan::Settings {
        let defaults = plan::Settings::default();
        plan::Settings {
            lease: self.lease,
            succession_slack: self.presence_lease.saturating_sub(PRESENCE_MARGIN),
            spread_factor: self.spread_factor.unwrap_or(defaults.spread_factor),
            retention: self.retention,
            ..defaults
        }
    }
}
