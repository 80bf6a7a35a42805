use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an entry whose presence has ended may still be running and present itself again.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(10);

/// What the other entries say of the table and of the store, by which an owner that the store does not answer
/// rules out a successor.
///
/// Whoever claims the table has had an answer of the store since the owner's presence could have ended. So
/// there is no successor while every entry that may reach the store says that it owns nothing and has had no
/// such answer. An entry that is not heard says nothing, and neither does one that has just started: its
/// former process may have claimed the table.
#[derive(Debug, Default)]
pub(super) struct Witnesses {
    statements: BTreeMap<SocketAddr, Statement>,
    /// Entries whose presence has ended, and when that was known.
    departed: BTreeMap<Name, (SocketAddr, Time)>,
}

/// What an entry has said last.
#[derive(Clone, Copy, Debug)]
pub(super) struct Statement {
    /// When the question was sent: the answer holds from then on.
    pub(super) asked: Time,
    /// Whether it owns the table.
    pub(super) owned: bool,
    /// When the store last answered it; `None` if it has not since its start.
    pub(super) contact: Option<Time>,
}

impl Witnesses {
    /// Records what the entry at `address` says.
    pub(super) fn record(&mut self, address: SocketAddr, statement: Statement) {
        self.statements.insert(address, statement);
    }

    /// Notes that the presence of the entry `name` has ended.
    pub(super) fn note_departure(&mut self, name: Name, address: SocketAddr, now: Time) {
        self.departed.insert(name, (address, now));
    }

    /// Notes that the entry `name` is present.
    pub(super) fn note_presence(&mut self, name: &str) {
        self.departed.remove(name);
    }

    /// The entries that have departed so shortly before `contact`, when the store last answered, that they may
    /// still claim the table.
    pub(super) fn departed(&self, contact: Time) -> impl Iterator<Item = (&Name, SocketAddr)> {
        let recent = move |since: &Time| !since.after(DEPARTURE_LIMIT).passed(contact);
        let departed = self.departed.iter().filter(move |(_, (_, since))| recent(since));
        departed.map(|(name, (address, _))| (name, *address))
    }

    /// Whether all entries at `addresses` said within `limit` that none has claimed the table since
    /// `presence_end`, when the owner's presence could have ended.
    pub(super) fn exclude_claim(
        &self,
        mut addresses: impl Iterator<Item = SocketAddr>,
        presence_end: Time,
        limit: Duration,
        now: Time,
    ) -> bool {
        addresses.all(|address| {
            // Nobody has claimed the table before.
            let excluded_until = match self.statements.get(&address) {
                Some(statement) if statement.excludes_claim(presence_end) => {
                    statement.asked.max(presence_end)
                }
                _ => presence_end,
            };
            now < excluded_until.after(limit)
        })
    }
}

impl Statement {
    /// Whether an entry that says so has not claimed the table since `presence_end`.
    fn excludes_claim(&self, presence_end: Time) -> bool {
        !self.owned && self.contact.is_some_and(|contact| contact < presence_end)
    }
}
