//! Stand-in for the platform's key-value service, with ragwortgrade's own HTTP interface. The one
//! for the users' platform is [`crate::site::Store`].

mod fault;
mod key_value_settings;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use ragwortgrade_schema::platform::{Entries, Lease, LeaseRequest, Write, Written};
use serde::Serialize;
use tiny_http::{Method, Request};

pub use self::fault::Fault;
pub use self::key_value_settings::KeyValueSettings;
use self::store::Store;
use crate::Error;
use crate::http::{self, Empty};
use crate::http_server::HttpServer;

/// Interval at which expired leases are removed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Key-value service with compare-and-swap, leases, watches, rate limits and fault injection.
#[derive(Debug)]
pub struct KeyValue {
    server: HttpServer,
    shared: Arc<Shared>,
    expiry_thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    changed: Condvar,
}

#[derive(Serialize)]
struct Counts {
    writes: u64,
    reads: u64,
    rate_limited: u64,
}

impl KeyValue {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub fn bind(settings: &KeyValueSettings) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::open(settings)),
            changed: Condvar::new(),
        });
        let handler = Arc::clone(&shared);
        let server = HttpServer::bind(&settings.address, move |request| handler.handle(request))?;
        let expiry_thread = spawn_expiry_thread(&shared);
        Ok(Self {
            server,
            shared,
            expiry_thread: Some(expiry_thread),
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects a fault, as `POST /debug/fault` does.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Returns the value of a key, without the effects of faults and rate limits.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<String> {
        self.shared.lock().get(key)?.value
    }

    /// Stops the server.
    pub fn stop(mut self) {
        self.server.stop();
        self.shared.lock().stopped = true;
        if let Some(expiry_thread) = self.expiry_thread.take()
            && expiry_thread.join().is_err()
        {
            log::error!("the lease expiry thread panicked");
        }
    }
}

fn spawn_expiry_thread(shared: &Arc<Shared>) -> JoinHandle<()> {
    let weak = Arc::downgrade(shared);
    thread::spawn(move || {
        while let Some(shared) = weak.upgrade() {
            let mut store = shared.lock();
            if store.stopped {
                return;
            }
            if store.expire(Instant::now()) {
                shared.changed.notify_all();
            }
            drop(store);
            drop(shared);
            thread::sleep(LEASE_CHECK_INTERVAL);
        }
    })
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_fault(&self, fault: Fault) {
        self.lock().set_fault(fault);
        self.changed.notify_all();
    }

    fn handle(&self, mut request: Request) {
        let path = http::path(&request);
        if path.starts_with("/debug/") {
            return self.debug(&path, request);
        }
        let fault = self.lock().fault.clone();
        match fault {
            Fault::Outage => return http::respond(request, 503, &Empty {}),
            Fault::Silent { hold_ms } => {
                thread::sleep(Duration::from_millis(hold_ms));
                return http::break_connection(request);
            }
            Fault::Slow { delay_ms } => thread::sleep(Duration::from_millis(delay_ms)),
            _ => {}
        }
        let is_write = *request.method() != Method::Get;
        if !self.lock().admit(is_write, Instant::now()) {
            return http::respond(request, 429, &Empty {});
        }
        match (request.method().clone(), path.as_str()) {
            (Method::Post, "/cas") => match http::read_json(&mut request) {
                Ok(write) => self.write(request, &write),
                Err(_) => http::respond(request, 400, &Empty {}),
            },
            (Method::Post, "/lease") => match http::read_json::<LeaseRequest>(&mut request) {
                Ok(lease) => self.grant(request, &lease),
                Err(_) => http::respond(request, 400, &Empty {}),
            },
            (Method::Get, "/list") => self.list(request),
            (Method::Get, "/watch") => self.watch(request),
            (Method::Get, _) => self.get(request, &path),
            (method, _) => self.lease(request, &method, &path),
        }
    }

    fn debug(&self, path: &str, mut request: Request) {
        match (path, request.method()) {
            ("/debug/fault", Method::Post) => match http::read_json(&mut request) {
                Ok(fault) => {
                    self.set_fault(fault);
                    http::respond(request, 200, &Empty {});
                }
                Err(_) => http::respond(request, 400, &Empty {}),
            },
            ("/debug/snapshot", Method::Post) => {
                self.lock().take_snapshot();
                http::respond(request, 200, &Empty {});
            }
            ("/debug/counts", _) => {
                let store = self.lock();
                let counts = Counts {
                    writes: store.writes,
                    reads: store.reads,
                    rate_limited: store.rate_limited,
                };
                drop(store);
                http::respond(request, 200, &counts);
            }
            _ => http::respond(request, 404, &Empty {}),
        }
    }

    fn write(&self, request: Request, write: &Write) {
        let mut store = self.lock();
        let outcome = store.write(write);
        let is_answer_lost = store.consume_lost_answer();
        drop(store);
        self.changed.notify_all();
        if is_answer_lost {
            return http::break_connection(request);
        }
        match outcome {
            Ok(revision) => http::respond(request, 200, &Written { revision }),
            Err(revision) => http::respond(request, 409, &Written { revision }),
        }
    }

    fn get(&self, request: Request, path: &str) {
        let Some(key) = path.strip_prefix("/kv/").map(http::percent_decode) else {
            return http::respond(request, 404, &Empty {});
        };
        let found = self.lock().get(&key);
        match found {
            Some(entry) => http::respond(request, 200, &entry),
            None => http::respond(request, 404, &Empty {}),
        }
    }

    fn list(&self, request: Request) {
        let prefix = http::query(&request, "prefix").unwrap_or_default();
        let after = http::query(&request, "after").unwrap_or_default();
        let entries = self.lock().list(&prefix, &after);
        http::respond(request, 200, &entries);
    }

    fn watch(&self, request: Request) {
        let prefix = http::query(&request, "prefix").unwrap_or_default();
        let after = http::query_number(&request, "after");
        let wait = Duration::from_millis(http::query_number(&request, "wait_ms"));
        let entries = self.wait_for_change(&prefix, after, Instant::now() + wait);
        match entries {
            Some(entries) => http::respond(request, 200, &entries),
            None => http::break_connection(request),
        }
    }

    /// Waits until a key that starts with `prefix` has a revision above `after`, the store was
    /// rolled back to a revision below `after`, or `until` has passed. Returns `None` during an
    /// outage.
    fn wait_for_change(&self, prefix: &str, after: u64, until: Instant) -> Option<Entries> {
        let mut store = self.lock();
        loop {
            if matches!(store.fault, Fault::Outage | Fault::Silent { .. }) {
                return None;
            }
            let entries = store.changes(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !entries.entries.is_empty() || left.is_zero() || entries.revision < after {
                return Some(entries);
            }
            store = self
                .changed
                .wait_timeout(store, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn grant(&self, request: Request, lease: &LeaseRequest) {
        let ttl = Duration::from_millis(lease.ttl_ms);
        let mut store = self.lock();
        let lease = store.grant(ttl, Instant::now());
        let is_answer_lost = store.consume_lost_answer();
        drop(store);
        if is_answer_lost {
            return http::break_connection(request);
        }
        http::respond(request, 200, &Lease { lease });
    }

    /// Handles `POST /lease/<id>/keepalive` and `DELETE /lease/<id>`.
    fn lease(&self, request: Request, method: &Method, path: &str) {
        let Some(rest) = path.strip_prefix("/lease/") else {
            return http::respond(request, 404, &Empty {});
        };
        let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
        let id = id.parse().unwrap_or(0);
        let succeeded = match (method, action) {
            (Method::Post, "keepalive") => self.lock().keep_alive(id, Instant::now()),
            (Method::Delete, "") => self.lock().revoke(id),
            _ => false,
        };
        self.changed.notify_all();
        if self.lock().consume_lost_answer() {
            return http::break_connection(request);
        }
        http::respond(request, if succeeded { 200 } else { 404 }, &Empty {});
    }
}
