//! Stand-in for an endpoint of a plain service.

mod effect;
mod plain_fault;
mod plain_settings;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use ragwortgrade_schema::engine::PlainLoad;
use serde::{Deserialize, Serialize};
use tiny_http::Request;

pub use self::effect::Effect;
pub use self::plain_fault::PlainFault;
pub use self::plain_settings::PlainSettings;
use crate::http::{self, Empty};
use crate::http_server::HttpServer;
use crate::record_log::RecordLog;
use crate::{Error, incarnation};

/// Endpoint of a plain service that records the effect of each call.
#[derive(Debug)]
pub struct Plain {
    server: HttpServer,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    settings: PlainSettings,
    incarnation: u64,
    in_flight: AtomicU32,
    draining: AtomicBool,
    last_arrival_ms: AtomicU64,
    fault: Mutex<PlainFault>,
    effects: RecordLog<Effect>,
}

#[derive(Serialize)]
struct Report {
    by_key: BTreeMap<String, u32>,
    by_body: BTreeMap<String, u32>,
    last_arrival_ms: u64,
    effects: Vec<Effect>,
}

#[derive(Deserialize)]
struct Draining {
    draining: bool,
}

#[derive(Serialize)]
struct Answer<'a> {
    endpoint: &'a str,
    path: &'a str,
    echo: &'a str,
}

impl Plain {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or the effect log cannot be opened.
    pub fn bind(settings: PlainSettings) -> Result<Self, Error> {
        let address = settings.address.clone();
        let state = Arc::new(State {
            incarnation: incarnation(),
            in_flight: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            last_arrival_ms: AtomicU64::new(0),
            fault: Mutex::new(settings.fault.clone()),
            effects: RecordLog::open(settings.effect_log.as_deref())?,
            settings,
        });
        let handler = Arc::clone(&state);
        let server = HttpServer::bind(&address, move |request| handler.handle(request))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the effects so far.
    #[must_use]
    pub fn effects(&self) -> Vec<Effect> {
        self.state.effects.records()
    }

    /// Injects a fault for the next calls.
    pub fn set_fault(&self, fault: PlainFault) {
        *self
            .state
            .fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Sets whether the load report says that the endpoint is draining.
    pub fn set_draining(&self, draining: bool) {
        self.state.draining.store(draining, Ordering::Relaxed);
    }

    /// Returns the Unix time of the last call in milliseconds, or 0 before the first call.
    #[must_use]
    pub fn last_arrival_ms(&self) -> u64 {
        self.state.last_arrival_ms.load(Ordering::Relaxed)
    }

    /// Stops the server.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

impl State {
    fn handle(&self, mut request: Request) {
        match http::path(&request).as_str() {
            "/load" => http::respond(request, 200, &self.load()),
            "/debug/effects" => http::respond(request, 200, &self.report()),
            "/debug/drain" => match http::read_json::<Draining>(&mut request) {
                Ok(body) => {
                    self.draining.store(body.draining, Ordering::Relaxed);
                    http::respond(request, 200, &Empty {});
                }
                Err(_) => http::respond(request, 400, &Empty {}),
            },
            "/debug/fault" => match http::read_json(&mut request) {
                Ok(fault) => {
                    *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
                    http::respond(request, 200, &Empty {});
                }
                Err(_) => http::respond(request, 400, &Empty {}),
            },
            _ => {
                self.last_arrival_ms
                    .fetch_max(http::unix_ms(), Ordering::Relaxed);
                self.in_flight.fetch_add(1, Ordering::Relaxed);
                self.call(request);
                self.in_flight.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    fn call(&self, mut request: Request) {
        let Ok(body) = http::read_body(&mut request) else {
            return;
        };
        let fault = self.consume_fault();
        if matches!(fault, Some(PlainFault::Before { .. })) {
            return http::break_connection(request);
        }
        thread::sleep(Duration::from_millis(self.settings.delay_ms));
        let body = String::from_utf8_lossy(&body).into_owned();
        let path = request.url().to_owned();
        self.effects.append(Effect {
            request_key: http::header(&request, "X-Request-Key").unwrap_or_default(),
            attempt: http::header(&request, http::ATTEMPT_HEADER).unwrap_or_default(),
            method: request.method().to_string(),
            path: path.clone(),
            body: body.clone(),
            at_ms: http::unix_ms(),
        });
        if matches!(fault, Some(PlainFault::After { .. })) {
            return http::break_connection(request);
        }
        let answer = Answer {
            endpoint: &self.settings.name,
            path: &path,
            echo: &body,
        };
        http::respond(request, 200, &answer);
    }

    /// Returns the fault if it applies to this call, and decrements its counter.
    fn consume_fault(&self) -> Option<PlainFault> {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = fault.clone();
        fault.consume().then_some(taken)
    }

    fn load(&self) -> PlainLoad {
        PlainLoad {
            draining: self.draining.load(Ordering::Relaxed),
            in_flight: self.in_flight.load(Ordering::Relaxed),
            incarnation: self.incarnation,
        }
    }

    fn report(&self) -> Report {
        let effects = self.effects.records();
        let mut by_key = BTreeMap::new();
        let mut by_body = BTreeMap::new();
        for effect in &effects {
            *by_key.entry(effect.request_key.clone()).or_insert(0) += 1;
            *by_body.entry(effect.body.clone()).or_insert(0) += 1;
        }
        Report {
            by_key,
            by_body,
            last_arrival_ms: self.last_arrival_ms.load(Ordering::Relaxed),
            effects,
        }
    }
}
