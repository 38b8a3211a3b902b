//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message, Server};
use crate::wire;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in their order: revision, key, and the JSON of the event.
    log: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    leases_granted: u64,
    /// Rises when all waiting watches are cut.
    cuts: u64,
    waiting: u32,
}

pub struct Store {
    pub server: Server,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let shared = Arc::new((Mutex::new(State::default()), Condvar::new()));
        shared.0.lock().unwrap().revision = 100;
        let handler = Arc::clone(&shared);
        let server = Server::start("127.0.0.1", move |request, stream| {
            handle(&handler, request, stream)
        });
        let expiry = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let mut state = expiry.0.lock().unwrap();
                let now = Instant::now();
                let leases = state.leases.iter();
                let ended = leases.filter(|(_, (_, until))| *until < now);
                let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                for lease in ended {
                    state.leases.remove(&lease);
                    let items = state.items.iter();
                    let keys = items.filter(|(_, item)| item.lease == lease);
                    let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
                    for key in keys {
                        state.remove(&key);
                    }
                    expiry.1.notify_all();
                }
            }
        });
        Self { server, shared }
    }

    /// Writes a key, as the operator and the workers do. The return is the acknowledgement.
    pub fn write(&self, key: &str, value: &[u8]) {
        let mut state = self.shared.0.lock().unwrap();
        state.put(key, &base64(value), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.remove(key);
        self.shared.1.notify_all();
    }

    /// Cuts the watches that are waiting; returns how many they are.
    pub fn cut_watches(&self) -> u32 {
        let mut state = self.shared.0.lock().unwrap();
        state.cuts += 1;
        self.shared.1.notify_all();
        state.waiting
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.log.push((revision, key.to_owned(), json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
            self.log.push((revision, key.to_owned(), event));
        }
    }
}

fn json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn answer(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let headers = [(wire::ERA, "1"), ("Content-Type", "application/json")];
    http::respond(stream, status, &headers, body).is_ok()
}

fn handle(shared: &(Mutex<State>, Condvar), request: &Message, stream: &mut TcpStream) -> bool {
    // The deployment's store takes 4 ms for an answer.
    std::thread::sleep(Duration::from_millis(4));
    let path = request.path();
    let mut state = shared.0.lock().unwrap();
    if path == wire::RANGE_PATH {
        let prefix = request.query("prefix").unwrap_or_default();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = items.map(|(key, item)| json(key, item)).collect();
        let body = format!(
            "{{\"items\":[{}],\"morePages\":false,\"storeRevision\":{}}}",
            items.join(","),
            state.revision
        );
        drop(state);
        return answer(stream, "200 OK", &body);
    }
    if path == wire::WATCH_PATH {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let cuts = state.cuts;
        state.waiting += 1;
        let body = loop {
            let log = state.log.iter();
            let new = log.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                break Some(format!(
                    "{{\"events\":[{events}],\"storeRevision\":{revision}}}"
                ));
            }
            if state.cuts != cuts {
                break None;
            }
            state = shared.1.wait_timeout(state, left).unwrap().0;
        };
        state.waiting -= 1;
        drop(state);
        return body.is_some_and(|body| answer(stream, "200 OK", &body));
    }
    if path == wire::KEY_PATH {
        let key = request.query("key").unwrap_or_default();
        let found = state.items.get(key).map(|item| json(key, item));
        drop(state);
        return match found {
            Some(body) => answer(stream, "200 OK", &body),
            None => answer(stream, "404 Not Found", "{}"),
        };
    }
    if path == wire::LEASE_PATH {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let ttl_ms: u64 = number_after(&body, "\"ttlMs\":").unwrap_or(1_000);
        state.leases_granted += 1;
        let lease = 7_000 + state.leases_granted;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        drop(state);
        let body = format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}");
        return answer(stream, "200 OK", &body);
    }
    if let Some(lease) = path.strip_prefix(wire::KEEP_PATH) {
        let lease: u64 = lease.parse().unwrap_or_default();
        let kept = state.leases.get_mut(&lease).map(|(ttl, until)| {
            *until = Instant::now() + *ttl;
            ttl.as_millis()
        });
        drop(state);
        return match kept {
            Some(ttl_ms) => answer(stream, "200 OK", &format!("{{\"ttlMs\":{ttl_ms}}}")),
            None => answer(stream, "404 Not Found", "{}"),
        };
    }
    if path == wire::TXN_PATH {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (puts, removes) = body.split_once("\"remove\":").unwrap_or((&body, ""));
        if let Some(puts) = puts.split_once("\"puts\":[{").map(|(_, puts)| puts) {
            let key = text_after(puts, "\"key\":\"").unwrap_or_default();
            let value = text_after(puts, "\"value\":\"").unwrap_or_default();
            let lease: u64 = number_after(puts, "\"lease\":").unwrap_or_default();
            if lease != 0 && !state.leases.contains_key(&lease) {
                drop(state);
                return answer(stream, "404 Not Found", "{}");
            }
            state.put(&key, &value, lease);
        }
        if let Some(key) = text_after(removes, "[\"") {
            state.remove(&key);
        }
        let revision = state.revision;
        drop(state);
        shared.1.notify_all();
        return answer(stream, "200 OK", &format!("{{\"revision\":{revision}}}"));
    }
    drop(state);
    answer(stream, "404 Not Found", "{}")
}

fn text_after(text: &str, mark: &str) -> Option<String> {
    let rest = text.split_once(mark)?.1;
    Some(rest.split('"').next()?.to_owned())
}

fn number_after(text: &str, mark: &str) -> Option<u64> {
    let rest = text.split_once(mark)?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            if position > chunk.len() {
                text.push('=');
            } else {
                let digit = (number >> (18 - 6 * position)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    text
}
