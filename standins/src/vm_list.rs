//! Stand-in for the platform's VM list.

mod vm_list_settings;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ragwortgrade_schema::platform::{Vm, Vms};
use rouille::{Request, Response, router};

pub use self::vm_list_settings::VmListSettings;
use crate::Error;
use crate::control_server::ControlServer;

/// VM list in which each change becomes visible after a delay.
#[derive(Debug)]
pub struct VmList {
    server: ControlServer,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    lag: Duration,
    visible: Vec<Vm>,
    /// Later contents of the list, with the times at which they become visible.
    pending: VecDeque<(Instant, Vec<Vm>)>,
}

impl VmList {
    /// Starts the server. The VMs of the settings are visible at once.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub fn bind(settings: VmListSettings) -> Result<Self, Error> {
        let state = Arc::new(Mutex::new(State {
            lag: Duration::from_millis(settings.lag_ms),
            visible: settings.vms,
            pending: VecDeque::new(),
        }));
        let handler_state = Arc::clone(&state);
        let server = ControlServer::bind(&settings.address, move |request| {
            handle(&handler_state, request)
        })?;
        Ok(Self { server, state })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the VMs; the change becomes visible after the delay.
    pub fn set(&self, vms: Vec<Vm>) {
        lock(&self.state).set(vms);
    }

    /// Stops the server.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

impl State {
    fn set(&mut self, vms: Vec<Vm>) {
        self.pending.push_back((Instant::now() + self.lag, vms));
    }

    fn visible(&mut self) -> Vec<Vm> {
        while let Some((due, _)) = self.pending.front()
            && *due <= Instant::now()
        {
            if let Some((_, vms)) = self.pending.pop_front() {
                self.visible = vms;
            }
        }
        self.visible.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle(state: &Mutex<State>, request: &Request) -> Response {
    router!(request,
        (GET) (/vms) => {
            let vms = lock(state).visible();
            Response::json(&Vms { vms })
        },
        (POST) (/debug/vms) => {
            match rouille::input::json_input::<Vms>(request) {
                Ok(vms) => {
                    lock(state).set(vms.vms);
                    Response::text("{}")
                }
                Err(error) => Response::text(error.to_string()).with_status_code(400),
            }
        },
        _ => Response::empty_404()
    )
}
