use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Request, Response, StoreCopy, Worker};
use crate::http::form_decode;

/// Items of one page of a listing, unless a test sets fewer.
const PAGE_ITEMS: usize = 500;

/// In-memory stand-in for the key-value service of the users' platform.
#[derive(Debug)]
pub struct Store {
    server: Worker,
    shared: Arc<Shared>,
}

/// Further address of a [`Store`], for callers that the service may refuse while it serves the others.
#[derive(Debug)]
pub struct Entrance {
    server: Worker,
    is_refusing: Arc<AtomicBool>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    data: StoreCopy,
    /// Rises each time that the data is replaced by an older copy; named in every response.
    era: u64,
    /// Revision up to which the history is discarded; a watch after an older one gets status 410.
    compacted_revision: u64,
    is_silent: bool,
    is_rejecting: bool,
    /// Whether responses do not name the era.
    hides_era: bool,
    /// Path whose calls get no response even when `is_silent` is false.
    unanswered_path: Option<String>,
    /// Prefix whose watches are refused with status 503.
    refused_prefix: Option<String>,
    /// Prefix whose watches get no response.
    unanswered_prefix: Option<String>,
    /// Prefix of the watch whose next response with changes is lost.
    lost_prefix: Option<String>,
    /// Number of the next renewals of leases that get no response.
    lost_renewals: usize,
    /// Number of times that the waiting watches were cut.
    cuts: u64,
    /// Items of one page of a listing.
    page_items: usize,
    page_fault: Option<PageFault>,
}

/// What is wrong with the pages of listings, after which more are always announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageFault {
    /// Each page is the first one.
    Repeated,
    /// Pages have no items.
    Empty,
}

impl Store {
    /// Listens on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    #[must_use]
    pub fn bind() -> Self {
        let shared = Arc::new(Shared::default());
        shared.lock().era = 1;
        shared.lock().data = StoreCopy::empty();
        shared.lock().page_items = PAGE_ITEMS;
        let handler = Arc::clone(&shared);
        let server = Worker::bind(move |request| handler.handle(request));
        Self { server, shared }
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Opens a further address on which the same data is served.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    #[must_use]
    pub fn open_entrance(&self) -> Entrance {
        let shared = Arc::clone(&self.shared);
        let is_refusing = Arc::new(AtomicBool::new(false));
        let is_refused = Arc::clone(&is_refusing);
        let server = Worker::bind(move |request| {
            if is_refused.load(Ordering::SeqCst) {
                Response::complete(503, &[], "{}")
            } else {
                shared.handle(request)
            }
        });
        Entrance {
            server,
            is_refusing,
        }
    }

    /// Writes a value that is already encoded as the service stores it.
    pub fn write(&self, key: &str, encoded: &str) {
        self.shared.lock().data.write(key, encoded, 0);
        self.shared.changed.notify_all();
    }

    /// Grants a lease and returns its number.
    #[must_use]
    pub fn grant_lease(&self) -> u64 {
        self.shared.lock().data.grant_lease(None)
    }

    /// Writes an encoded value that is removed when the lease ends.
    pub fn write_with_lease(&self, key: &str, encoded: &str, lease: u64) {
        self.shared.lock().data.write(key, encoded, lease);
        self.shared.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.lock().data.remove(key);
        self.shared.changed.notify_all();
    }

    /// Returns a copy of the current data.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        self.shared.lock().data.clone()
    }

    /// Replaces the data by an older copy: later changes and leases are gone, and their revisions
    /// and lease numbers are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.shared.lock();
        state.data = copy;
        state.era += 1;
        self.shared.changed.notify_all();
    }

    /// Discards the history up to the current revision.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.compacted_revision = state.data.revision();
    }

    /// Sets the number of items of one page of a listing.
    pub fn set_page_items(&self, items: usize) {
        self.shared.lock().page_items = items;
    }

    /// Sets what is wrong with the pages of listings.
    pub fn set_page_fault(&self, fault: Option<PageFault>) {
        self.shared.lock().page_fault = fault;
    }

    /// Sets a prefix whose watches are refused with status 503, or clears it.
    pub fn set_refused_prefix(&self, prefix: Option<&str>) {
        self.shared.lock().refused_prefix = prefix.map(str::to_owned);
    }

    /// Sets a prefix whose new watches never get a response, or clears it.
    pub fn set_unanswered_prefix(&self, prefix: Option<&str>) {
        self.shared.lock().unanswered_prefix = prefix.map(str::to_owned);
    }

    /// Lets the next renewal of a lease get no response.
    pub fn lose_renewal(&self) {
        self.shared.lock().lost_renewals += 1;
    }

    /// Loses the next response to a watch of this prefix that has changes; its connection stays open.
    pub fn lose_changes(&self, prefix: &str) {
        self.shared.lock().lost_prefix = Some(prefix.to_owned());
    }

    /// Closes the connections of the watches that are waiting, without responses.
    pub fn cut_watches(&self) {
        self.shared.lock().cuts += 1;
        self.shared.changed.notify_all();
    }

    /// Sets whether new calls get no response. Calls that arrived during the silence never get one.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.lock().is_silent = is_silent;
    }

    /// Sets whether calls are refused with status 503.
    pub fn set_rejecting(&self, is_rejecting: bool) {
        self.shared.lock().is_rejecting = is_rejecting;
    }

    /// Lets new leases end unless they are renewed; before, they last until they are ended.
    pub fn expire_leases(&self) {
        self.shared.lock().data.set_expiring();
    }

    /// Lets responses name no era, like a store that does not know of restores.
    pub fn hide_era(&self) {
        self.shared.lock().hides_era = true;
    }

    /// Sets a path whose calls get no response, or clears it.
    pub fn set_unanswered_path(&self, path: Option<&str>) {
        self.shared.lock().unanswered_path = path.map(str::to_owned);
    }

    /// Returns the calls answered so far.
    #[must_use]
    pub fn requests(&self) -> Vec<Request> {
        self.server.requests()
    }

    /// Returns the value of a key, encoded as the service stores it.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<String> {
        let item = self.shared.lock().data.item(key)?;
        item["value"].as_str().map(str::to_owned)
    }

    /// Returns the keys that start with a prefix.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.lock().data.keys(prefix)
    }
}

impl Entrance {
    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets whether calls at this address are refused with status 503.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.is_refusing.store(is_refusing, Ordering::SeqCst);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &Request) -> Response {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        {
            let mut state = self.lock();
            if state.data.expire_leases() {
                self.changed.notify_all();
            }
            let is_lost = state.lost_renewals > 0 && path.starts_with("/api/kv-keep/");
            state.lost_renewals -= usize::from(is_lost);
            let is_unanswered = path == "/api/kv-watch"
                && state.unanswered_prefix.is_some()
                && state.unanswered_prefix == parameter(query, "prefix");
            let is_unanswered = is_unanswered || state.unanswered_path.as_deref() == Some(path);
            if state.is_silent || is_lost || is_unanswered {
                return Response::NoResponse;
            }
            if state.is_rejecting {
                return Response::complete(503, &[], "{}");
            }
        }
        let (status, body) = match path {
            "/api/kv-range" => self.range(query),
            "/api/kv-watch" => match self.watch(query) {
                Ok(response) => response,
                Err(fault) => return fault,
            },
            "/api/kv-txn" => self.transaction(&request.body),
            "/api/kv-key" => match parameter(query, "key") {
                Some(key) => match self.lock().data.item(&key) {
                    Some(item) => (200, item),
                    None => (404, json!({})),
                },
                None => (400, json!({})),
            },
            "/api/kv-lease" => self.grant_lease(&request.body),
            _ => self.lease_call(path),
        };
        if self.lock().hides_era {
            return Response::complete(status, &[], &body.to_string());
        }
        let era = self.lock().era.to_string();
        Response::complete(status, &[("Store-Era", &era)], &body.to_string())
    }

    fn range(&self, query: &str) -> (u16, Value) {
        let (Some(prefix), Some(after)) = (parameter(query, "prefix"), parameter(query, "after"))
        else {
            return (400, json!({}));
        };
        let state = self.lock();
        let (after, items_max) = match state.page_fault {
            None => (after.as_str(), state.page_items),
            Some(PageFault::Repeated) => ("", state.page_items),
            Some(PageFault::Empty) => ("", 0),
        };
        let mut page = state.data.range(&prefix, after, items_max);
        if state.page_fault.is_some() {
            page["morePages"] = json!(true);
        }
        (200, page)
    }

    /// Returns the response to a watch, or what happens if it is cut or its response is lost.
    fn watch(&self, query: &str) -> Result<(u16, Value), Response> {
        let Some(prefix) = parameter(query, "prefix") else {
            return Ok((400, json!({})));
        };
        let number = |name| parameter(query, name)?.parse().ok();
        let after = number("after").unwrap_or_default();
        let wait_ms = number("waitMs").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        if state.refused_prefix.as_deref() == Some(&prefix) {
            return Ok((503, json!({})));
        }
        let cuts = state.cuts;
        loop {
            if after < state.compacted_revision || after > state.data.revision() {
                return Ok((410, json!({})));
            }
            let events = state.data.events(&prefix, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.data.revision();
                let response = json!({ "events": events, "storeRevision": revision });
                if !events.is_empty() && state.lost_prefix.as_deref() == Some(&prefix) {
                    state.lost_prefix = None;
                    return Err(Response::NoResponse);
                }
                return Ok((200, response));
            }
            if state.cuts != cuts {
                return Err(Response::Close);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transaction(&self, body: &[u8]) -> (u16, Value) {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.lock();
        let entries = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let puts = entries("puts");
        let lease = |put: &Value| put["lease"].as_u64().unwrap_or_default();
        let is_known = |lease| lease == 0 || state.data.has_lease(lease);
        if !puts.iter().all(|put| is_known(lease(put))) {
            return (404, json!({}));
        }
        let holds = |condition: &Value| {
            let key = condition["key"].as_str().unwrap_or_default();
            Some(state.data.key_revision(key)) == condition["revision"].as_u64()
        };
        if !entries("expected").iter().all(holds) {
            return (412, json!({}));
        }
        for put in &puts {
            let key = put["key"].as_str().unwrap_or_default();
            let value = put["value"].as_str().unwrap_or_default();
            state.data.write(key, value, lease(put));
        }
        for key in entries("remove") {
            state.data.remove(key.as_str().unwrap_or_default());
        }
        self.changed.notify_all();
        (200, json!({ "revision": state.data.revision() }))
    }

    fn grant_lease(&self, body: &[u8]) -> (u16, Value) {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let ttl_ms = call["ttlMs"].as_u64();
        let ttl = ttl_ms.map(Duration::from_millis);
        let lease = self.lock().data.grant_lease(ttl);
        (200, json!({ "lease": lease, "ttlMs": ttl_ms }))
    }

    /// Renews or ends a lease.
    fn lease_call(&self, path: &str) -> (u16, Value) {
        let mut state = self.lock();
        let Some((call, lease)) = path.rsplit_once('/') else {
            return (404, json!({}));
        };
        let lease = lease.parse().unwrap_or_default();
        if !state.data.has_lease(lease) {
            return (404, json!({}));
        }
        match call {
            "/api/kv-keep" => {
                state.data.renew_lease(lease);
                (200, json!({ "ttlMs": 10_000 }))
            }
            "/api/kv-lease-end" => {
                state.data.end_lease(lease);
                self.changed.notify_all();
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }
}

/// Returns a parameter of a query, empty if it is missing, or `None` if it is not encoded correctly.
fn parameter(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    let value = found.next().map_or("", |(_, value)| value);
    form_decode(value)
}
