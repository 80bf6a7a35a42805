//! The key-value pairs of the stand-in store, their history and the leases.

use shallotflow_core::time::Time;
use shallotflow_store::proto::etcdserverpb as rpc;
use shallotflow_store::proto::mvccpb::{Event, KeyValue, event::EventType};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of events that are kept for watches that start at an earlier revision.
const HISTORY_EVENTS: usize = 20_000;

type Key = Vec<u8>;

/// A range of keys as etcd encodes it.
///
/// An empty `end` means the single key `start`, and one zero byte means every key from `start` on.
#[derive(Clone, Debug, Default)]
pub struct Span {
    /// The first key.
    pub start: Vec<u8>,
    /// The exclusive end.
    pub end: Vec<u8>,
}

impl Span {
    /// Whether the range contains `key`.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    deadline: Time,
}

/// The state of the store; every write creates one revision.
#[derive(Debug)]
pub struct Table {
    revision: i64,
    pairs: BTreeMap<Key, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    history: VecDeque<Event>,
    compacted: i64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            revision: 1,
            pairs: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            history: VecDeque::new(),
            compacted: 0,
        }
    }
}

impl Table {
    /// The revision of the last write.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Reads the pairs of a range; at most `limit` pairs, where 0 means no limit.
    pub fn range(&self, span: &Span, limit: usize) -> Vec<KeyValue> {
        let limit = if limit == 0 { usize::MAX } else { limit };
        self.pairs
            .range(span.start.clone()..)
            .take_while(|(key, _)| span.contains(key))
            .map(|(_, pair)| pair.clone())
            .take(limit)
            .collect()
    }

    /// Whether all comparisons are met.
    pub fn compare(&self, compares: &[rpc::Compare]) -> bool {
        compares.iter().all(|compare| self.is_met(compare))
    }

    /// Applies `operations` as one revision and returns the resulting events.
    ///
    /// # Errors
    ///
    /// Returns the first lease that a put names and that does not exist. Nothing is written then.
    pub fn apply(&mut self, operations: &[rpc::RequestOp]) -> Result<Vec<Event>, i64> {
        for put in operations.iter().filter_map(as_put) {
            if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                return Err(put.lease);
            }
        }
        let revision = self.revision + 1;
        let mut events = Vec::new();
        for operation in operations {
            match &operation.request {
                Some(rpc::request_op::Request::RequestPut(put)) => {
                    events.push(self.put(put, revision));
                }
                Some(rpc::request_op::Request::RequestDeleteRange(delete)) => {
                    let span = Span { start: delete.key.clone(), end: delete.range_end.clone() };
                    events.extend(self.delete(&span, revision));
                }
                Some(rpc::request_op::Request::RequestRange(_)) | None => {}
            }
        }
        self.record(revision, &events);
        Ok(events)
    }

    /// Grants a lease of `ttl` and returns its identifier.
    pub fn grant(&mut self, ttl: Duration, now: Time) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, Lease { ttl, deadline: now.after(ttl) });
        id
    }

    /// Renews a lease and returns its TTL, or `None` if it does not exist any more.
    pub fn renew(&mut self, id: i64, now: Time) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.deadline = now.after(lease.ttl);
        Some(lease.ttl)
    }

    /// Revokes a lease, deletes its keys and returns the events, or `None` if it does not exist.
    pub fn revoke(&mut self, id: i64) -> Option<Vec<Event>> {
        self.leases.remove(&id)?;
        let keys: Vec<Key> = self
            .pairs
            .iter()
            .filter(|(_, pair)| pair.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        let revision = self.revision + 1;
        let mut events = Vec::new();
        for key in keys {
            events.extend(self.delete(&Span { start: key, end: Vec::new() }, revision));
        }
        self.record(revision, &events);
        Some(events)
    }

    /// Revokes the leases whose deadline has passed, or every lease if `all`.
    pub fn expire(&mut self, now: Time, all: bool) -> Vec<Event> {
        let ended: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| all || lease.deadline.passed(now))
            .map(|(id, _)| *id)
            .collect();
        ended.into_iter().filter_map(|id| self.revoke(id)).flatten().collect()
    }

    /// Reads the events of a range from `revision` on.
    ///
    /// # Errors
    ///
    /// Returns the oldest available revision if `revision` is compacted.
    pub fn events_since(&self, span: &Span, revision: i64) -> Result<Vec<Event>, i64> {
        if revision <= self.compacted {
            return Err(self.compacted + 1);
        }
        let wanted = |event: &&Event| {
            event
                .kv
                .as_ref()
                .is_some_and(|kv| kv.mod_revision >= revision && span.contains(&kv.key))
        };
        Ok(self.history.iter().filter(wanted).cloned().collect())
    }

    fn is_met(&self, compare: &rpc::Compare) -> bool {
        use rpc::compare::{CompareResult, TargetUnion};
        let pair = self.pairs.get(&compare.key);
        let order = match &compare.target_union {
            Some(TargetUnion::CreateRevision(expected)) => {
                pair.map_or(0, |pair| pair.create_revision).cmp(expected)
            }
            Some(TargetUnion::ModRevision(expected)) => {
                pair.map_or(0, |pair| pair.mod_revision).cmp(expected)
            }
            Some(TargetUnion::Version(expected)) => {
                pair.map_or(0, |pair| pair.version).cmp(expected)
            }
            Some(TargetUnion::Lease(expected)) => pair.map_or(0, |pair| pair.lease).cmp(expected),
            Some(TargetUnion::Value(expected)) => match pair {
                Some(pair) => pair.value.cmp(expected),
                None => return false,
            },
            None => return false,
        };
        match compare.result() {
            CompareResult::Equal => order.is_eq(),
            CompareResult::NotEqual => order.is_ne(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
        }
    }

    fn put(&mut self, put: &rpc::PutRequest, revision: i64) -> Event {
        let pair = self.pairs.entry(put.key.clone()).or_insert_with(|| KeyValue {
            key: put.key.clone(),
            create_revision: revision,
            ..KeyValue::default()
        });
        pair.mod_revision = revision;
        pair.version += 1;
        pair.value.clone_from(&put.value);
        pair.lease = put.lease;
        Event { r#type: EventType::Put.into(), kv: Some(pair.clone()), prev_kv: None }
    }

    fn delete(&mut self, span: &Span, revision: i64) -> Vec<Event> {
        let keys: Vec<Key> = self.range(span, 0).into_iter().map(|pair| pair.key).collect();
        keys.into_iter()
            .map(|key| {
                self.pairs.remove(&key);
                let kv = KeyValue { key, mod_revision: revision, ..KeyValue::default() };
                Event { r#type: EventType::Delete.into(), kv: Some(kv), prev_kv: None }
            })
            .collect()
    }

    fn record(&mut self, revision: i64, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        self.revision = revision;
        self.history.extend(events.iter().cloned());
        while self.history.len() > HISTORY_EVENTS {
            let dropped = self.history.pop_front().and_then(|event| event.kv);
            self.compacted = dropped.map_or(self.compacted, |kv| kv.mod_revision);
        }
    }
}

fn as_put(operation: &rpc::RequestOp) -> Option<&rpc::PutRequest> {
    match &operation.request {
        Some(rpc::request_op::Request::RequestPut(put)) => Some(put),
        _ => None,
    }
}
