//! The platform's metadata store.

use crate::http::{Answer, Request, Server};
use crate::json::{Json, quote};
use std::collections::{BTreeMap, HashMap};
use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Revision, key and, unless it was removed, the item of each change.
    changes: Vec<(i64, String, Option<Item>)>,
    leases: HashMap<i64, (Duration, Instant)>,
    last_lease: i64,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, revision: i64, key: &str, value: String, lease: i64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, revision: i64, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: i64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            let revision = self.revision;
            self.remove(revision, &key);
        }
        true
    }
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 1;
        let shared = store.shared.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let mut state = shared.0.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<i64> =
                    state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
                for lease in ended {
                    state.end_lease(lease);
                    shared.1.notify_all();
                }
            }
        });
        store
    }

    pub fn serve(&self, address: SocketAddr) -> Result<Server> {
        let store = self.clone();
        Server::start(address, Arc::new(move |request| store.answer(&request)))
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(revision, key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let path = request.path.as_str();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.shared.0.lock().unwrap();
        match (request.method.as_str(), path) {
            ("GET", "/shallotflow/kv-key") => {
                let key = query("key");
                let Some(found) = state.items.get(&key) else { return Some((404, "{}".into())) };
                let text = item(&key, found);
                let revision = state.revision;
                Some((200, format!("{},\"store_revision\":{revision}}}", &text[..text.len() - 1])))
            }
            ("GET", "/shallotflow/kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let mut items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .take(501)
                    .map(|(key, found)| item(key, found))
                    .collect();
                let truncated = items.len() > 500;
                items.truncate(500);
                let text = format!(
                    "{{\"items\":[{}],\"truncated\":{truncated},\"store_revision\":{}}}",
                    items.join(","),
                    state.revision
                );
                Some((200, text))
            }
            ("GET", "/shallotflow/kv-watch") => {
                let prefix = query("prefix");
                let after: i64 = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                let deadline = Instant::now() + wait;
                loop {
                    let matches = |change: &&(i64, String, Option<Item>)| {
                        change.0 > after && change.1.starts_with(&prefix)
                    };
                    let events: Vec<String> = state
                        .changes
                        .iter()
                        .filter(matches)
                        .map(|(revision, key, found)| match found {
                            Some(found) => item(key, found),
                            None => format!(
                                "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                                quote(key)
                            ),
                        })
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let text = format!(
                            "{{\"events\":[{}],\"store_revision\":{}}}",
                            events.join(","),
                            state.revision
                        );
                        return Some((200, text));
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/shallotflow/kv-txn") => {
                let rows = body.list("precondition");
                let holds = |row: &Json| {
                    let revision = state.items.get(&row.text("key")).map_or(0, |item| item.revision);
                    revision == row.integer("revision")
                };
                if !rows.iter().all(holds) {
                    let keys: Vec<String> = rows.iter().map(|row| row.text("key")).collect();
                    let items = keys.iter().filter_map(|key| Some(item(key, state.items.get(key)?)));
                    let text = format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(","));
                    return Some((412, text));
                }
                let puts = body.list("puts");
                let lacks = |put: &Json| {
                    let lease = put.integer("lease");
                    lease != 0 && !state.leases.contains_key(&lease)
                };
                if puts.iter().any(lacks) {
                    return Some((404, "{}".into()));
                }
                state.revision += 1;
                let revision = state.revision;
                for put in puts {
                    state.put(revision, &put.text("key"), put.text("value"), put.integer("lease"));
                }
                for key in body.list("remove") {
                    if let Json::Text(key) = key {
                        state.remove(revision, &key);
                    }
                }
                self.shared.1.notify_all();
                Some((200, format!("{{\"revision\":{revision}}}")))
            }
            ("POST", "/shallotflow/kv-lease") => {
                let ttl_ms = body.integer("ttl_ms").max(1_000) as u64;
                state.last_lease += 1;
                let (lease, ttl) = (state.last_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                Some((200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}")))
            }
            ("POST", _) if path.starts_with("/shallotflow/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let Some((ttl, end)) = state.leases.get_mut(&lease) else {
                    return Some((404, "{}".into()));
                };
                *end = Instant::now() + *ttl;
                Some((200, "{}".into()))
            }
            ("DELETE", _) if path.starts_with("/shallotflow/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let ended = state.end_lease(lease);
                self.shared.1.notify_all();
                Some((if ended { 200 } else { 404 }, "{}".into()))
            }
            _ => Some((400, "{}".into())),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            let value = bits >> (18 - 6 * digit) & 63;
            text.push(if digit > chunk.len() { '=' } else { DIGITS[value as usize] as char });
        }
    }
    text
}
