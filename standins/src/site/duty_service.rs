use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde_json::Value;

use super::{Request, Response, Worker};

/// Stand-in for the platform's duty interface, which does not check tokens.
#[derive(Debug)]
pub struct DutyService {
    server: Worker,
    state: Arc<Mutex<State>>,
}

/// A duty call that the stand-in has executed.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyCall {
    /// Path of the call.
    pub path: String,
    /// Daemon that made it.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// Window of a usage report.
    pub window: Option<u64>,
    /// The body.
    pub body: Value,
    /// When it arrived.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct State {
    calls: Vec<DutyCall>,
    refused: Vec<DutyCall>,
    /// Status of the next calls, which are not executed; `None` executes them.
    refusal: Option<u16>,
    /// Number of the next calls that are executed and get no response.
    lost_answers: usize,
}

impl DutyService {
    /// Listens on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    #[must_use]
    pub fn bind() -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let server = Worker::bind(move |request| respond(&shared, request));
        Self { server, state }
    }

    /// Returns the address that the interface listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the calls executed so far.
    #[must_use]
    pub fn calls(&self) -> Vec<DutyCall> {
        lock(&self.state).calls.clone()
    }

    /// Returns the calls refused so far.
    #[must_use]
    pub fn refused(&self) -> Vec<DutyCall> {
        lock(&self.state).refused.clone()
    }

    /// Refuses calls with this status, or executes them again.
    pub fn set_refusal(&self, status: Option<u16>) {
        lock(&self.state).refusal = status;
    }

    /// Executes the next calls without a response.
    pub fn lose_answers(&self, calls: usize) {
        lock(&self.state).lost_answers = calls;
    }
}

fn respond(state: &Mutex<State>, request: &Request) -> Response {
    let mut state = lock(state);
    let token = request.header("x-fencing-token");
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let call = DutyCall {
        path: request.target.clone(),
        holder: request
            .header("x-duty-holder")
            .unwrap_or_default()
            .to_owned(),
        token: token
            .and_then(|token| token.parse().ok())
            .unwrap_or_default(),
        window: body["windowId"].as_u64(),
        body,
        at: Instant::now(),
    };
    if let Some(status) = state.refusal {
        state.refused.push(call);
        return Response::complete(status, &[], "{}");
    }
    state.calls.push(call);
    if state.lost_answers > 0 {
        state.lost_answers -= 1;
        return Response::NoResponse;
    }
    Response::complete(200, &[], "{}")
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
