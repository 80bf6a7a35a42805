use std::time::Duration;

/// The limits of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How much the entry's machine can do, against others.
    pub strength: u32,
    /// How long an entry that finds no owner at all waits for stronger ones to announce
    /// themselves; all processes of a new system start within this time.
    pub first_claim: Duration,
    /// How long an entry claims nothing after a claim that it could not complete.
    pub claim_pause: Duration,
    /// An owner that says for this long that it does not own the table may be replaced.
    pub disowned: Duration,
    /// Length of the lease of the entry's presence; the shortest that the store grants.
    pub presence: Duration,
    /// Pause between two renewals of it; a third of its length.
    pub renewal: Duration,
    /// Longest time that the reply to a report waits for orders.
    pub reply_wait: Duration,
    /// Limit of a question to another entry; a hundred round trips between failure domains.
    pub ask_limit: Duration,
    /// Pause between two questions to the owner how it stands.
    pub standing_interval: Duration,
    /// An owner whom the store has not answered for this long gives up if another entry is
    /// answered.
    pub store_quiet: Duration,
    /// An owner whom neither the store nor an entry has answered for this long gives up.
    pub alone: Duration,
    /// By how much the times may differ at which the store last answered two entries that it
    /// stopped answering together; two renewals.
    pub contact_slack: Duration,
    /// Pause between two looks at the deadlines.
    pub tick: Duration,
    /// Pause after a failed call to the store.
    pub store_pause: Duration,
    /// Longest time for which a job is tried to be stored before its caller is told.
    pub submit_limit: Duration,
    /// How long no larger worker may have been heard of before a job is refused as too large; two
    /// of the workers' own reports.
    pub sizes_settle: Duration,
    /// Pause between two times that what was learned of images is stored; it takes some ten seconds
    /// to learn.
    pub learned_interval: Duration,
    /// Pause between the claims of two entries that see an owner gone, by their rank.
    pub claim_stagger: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            strength: 1,
            first_claim: Duration::from_millis(700),
            claim_pause: Duration::from_millis(2_000),
            disowned: Duration::from_millis(2_000),
            presence: Duration::from_millis(1_000),
            renewal: Duration::from_millis(330),
            reply_wait: Duration::from_millis(400),
            ask_limit: Duration::from_millis(250),
            standing_interval: Duration::from_millis(400),
            store_quiet: Duration::from_millis(1_100),
            alone: Duration::from_millis(2_500),
            contact_slack: Duration::from_millis(800),
            tick: Duration::from_millis(25),
            store_pause: Duration::from_millis(60),
            submit_limit: Duration::from_millis(800),
            sizes_settle: Duration::from_millis(3_000),
            learned_interval: Duration::from_millis(3_000),
            claim_stagger: Duration::from_millis(60),
        }
    }
}
