//! The platform's store: keys with revisions, conditions, leases and watches.
use crate::http::{Answer, Request};
use crate::json::{quote, Json};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// How long an answer takes.
const LATENCY: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Event {
    key: String,
    revision: i64,
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Inner {
    revision: i64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
}

#[derive(Default)]
pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    /// Longest time of an answer, milliseconds, while the store is slow; 0 otherwise.
    slow_ms: AtomicU64,
    /// State of the generator of those times.
    seed: AtomicU64,
}

impl Inner {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision: self.revision, item: Some(item) });
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event { key: key.to_owned(), revision: self.revision, item: None });
        }
    }
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<i64> = self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            self.end_lease(*id);
        }
        !ended.is_empty()
    }
    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }
}

fn describe(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.inner.lock().unwrap().revision = 1;
        store
    }
    /// Makes answers take from 4 ms to `longest_ms`; 0 ends that.
    pub fn set_slow(&self, longest_ms: u64) {
        self.slow_ms.store(longest_ms, Ordering::Relaxed);
    }
    /// Returns how long a call waits before it is carried out, and its answer after that.
    ///
    /// While the store is slow, most answers take a small part of the longest time, and few nearly all of it.
    fn times(&self) -> (Duration, Duration) {
        let longest = Duration::from_millis(self.slow_ms.load(Ordering::Relaxed));
        if longest <= LATENCY {
            return (Duration::ZERO, LATENCY);
        }
        let number = self.seed.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        let mixed = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        let share = |bits: u64| (bits % 1_000) as f64 / 1_000.0;
        let (part, split) = (share(mixed >> 40).powi(3), share(mixed >> 20));
        let time = LATENCY + (longest - LATENCY).mul_f64(part);
        (time.mul_f64(split), time.mul_f64(1.0 - split))
    }
    /// Ends the leases whose time has passed; called every few milliseconds.
    pub fn tick(&self) {
        if self.inner.lock().unwrap().expire() {
            self.changed.notify_all();
        }
    }
    /// The operator's write; returns its revision.
    pub fn operate(&self, key: &str, value: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        inner.put(key, encode(value.as_bytes()), 0);
        self.changed.notify_all();
    }
    /// The value of a key as text, and its revision.
    pub fn read(&self, key: &str) -> Option<(String, i64)> {
        let inner = self.inner.lock().unwrap();
        inner.items.get(key).map(|item| (String::from_utf8_lossy(&decode(&item.value)).into_owned(), item.revision))
    }
    pub fn serve(&self, request: &Request) -> Answer {
        let path = request.path.as_str();
        if path == "/shallotflow/kv-watch" {
            return self.watch(request);
        }
        let (before, after) = self.times();
        std::thread::sleep(before);
        let answer = self.answer(request, path);
        std::thread::sleep(after);
        answer
    }
    fn answer(&self, request: &Request, path: &str) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        if inner.expire() {
            self.changed.notify_all();
        }
        let ok = |body: String| Some((200, body));
        match (request.method.as_str(), path) {
            ("GET", "/shallotflow/kv-key") => {
                let key = request.argument("key");
                match inner.items.get(&key) {
                    Some(item) => {
                        let text = describe(&key, item);
                        let text = format!("{},\"store_revision\":{}}}", &text[..text.len() - 1], inner.revision);
                        ok(text)
                    }
                    None => Some((404, "{}".to_owned())),
                }
            }
            ("GET", "/shallotflow/kv-range") => {
                let (prefix, after) = (request.argument("prefix"), request.argument("after"));
                let mut rows = Vec::new();
                let mut truncated = false;
                for (key, item) in inner.items.range(prefix.clone()..) {
                    if !key.starts_with(&prefix) {
                        break;
                    }
                    if !after.is_empty() && *key <= after {
                        continue;
                    }
                    if rows.len() == PAGE_ITEMS {
                        truncated = true;
                        break;
                    }
                    rows.push(describe(key, item));
                }
                ok(format!(
                    "{{\"items\":[{}],\"truncated\":{truncated},\"store_revision\":{}}}",
                    rows.join(","),
                    inner.revision
                ))
            }
            ("POST", "/shallotflow/kv-txn") => {
                let Some(body) = Json::parse(&request.body) else { return Some((400, "{}".to_owned())) };
                for row in body.list("precondition") {
                    let present = inner.items.get(&row.text("key")).map_or(0, |item| item.revision);
                    if present != row.number("revision").unwrap_or(0) {
                        return Some((412, "{\"items\":[]}".to_owned()));
                    }
                }
                let puts = body.list("puts");
                if puts.iter().any(|put| {
                    let lease = put.number("lease").unwrap_or(0);
                    lease != 0 && !inner.leases.contains_key(&lease)
                }) {
                    return Some((404, "{}".to_owned()));
                }
                inner.revision += 1;
                for put in puts {
                    inner.put(&put.text("key"), put.text("value"), put.number("lease").unwrap_or(0));
                }
                for key in body.list("remove") {
                    if let Json::Str(key) = key {
                        inner.remove(&key);
                    }
                }
                self.changed.notify_all();
                ok(format!("{{\"revision\":{}}}", inner.revision))
            }
            ("POST", "/shallotflow/kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl = body.number("ttl_ms").unwrap_or(1_000).clamp(1_000, 600_000) as u64;
                inner.next_lease += 1;
                let id = 1_000 + inner.next_lease;
                let ttl_span = Duration::from_millis(ttl);
                inner.leases.insert(id, Lease { ttl: ttl_span, ends: Instant::now() + ttl_span });
                ok(format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/shallotflow/kv-keep/") => {
                let id: i64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match inner.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        ok(format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
                    }
                    None => Some((404, "{}".to_owned())),
                }
            }
            ("DELETE", path) if path.starts_with("/shallotflow/kv-lease-end/") => {
                let id: i64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                if !inner.leases.contains_key(&id) {
                    return Some((404, "{}".to_owned()));
                }
                inner.end_lease(id);
                self.changed.notify_all();
                ok("{}".to_owned())
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.argument("prefix");
        let after: i64 = request.argument("after").parse().unwrap_or(0);
        let wait: u64 = request.argument("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut inner = self.inner.lock().unwrap();
        loop {
            let rows: Vec<String> = inner
                .events
                .iter()
                .rev()
                .take_while(|event| event.revision > after)
                .filter(|event| event.key.starts_with(&prefix))
                .map(|event| match &event.item {
                    Some(item) => describe(&event.key, item),
                    None => format!("{{\"key\":{},\"revision\":{},\"deleted\":true}}", quote(&event.key), event.revision),
                })
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                let revision = inner.revision;
                drop(inner);
                let rows: Vec<String> = rows.into_iter().rev().collect();
                let (before, after) = self.times();
                std::thread::sleep(before + after);
                return Some((200, format!("{{\"events\":[{}],\"store_revision\":{revision}}}", rows.join(","))));
            }
            inner = self.changed.wait_timeout(inner, until - now).unwrap().0;
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(ALPHABET[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn decode(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|known| *known == byte) else { continue };
        word = (word << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}
