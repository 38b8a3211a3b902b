use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use super::state::State;
use super::{EngineSettings, OrderRecord};
use crate::record_log::RecordLog;
use crate::{Error, incarnation};

/// Exit status of an engine process after an injected crash.
const CRASH_STATUS: i32 = 70;

/// State shared by the threads of an engine.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: EngineSettings,
    pub(super) incarnation: u64,
    pub(super) orders: RecordLog<OrderRecord>,
    pub(super) changed: Condvar,
    state: Mutex<State>,
}

impl Shared {
    pub(super) fn open(settings: EngineSettings) -> Result<Self, Error> {
        Ok(Self {
            incarnation: incarnation(),
            orders: RecordLog::open(settings.order_log.as_deref())?,
            changed: Condvar::new(),
            state: Mutex::new(State::open(&settings)),
            settings,
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Breaks every stream and serves no further requests.
    pub(super) fn crash(&self) {
        let mut state = self.lock();
        state.crashed = true;
        state.interrupt_all();
        drop(state);
        self.changed.notify_all();
    }

    /// Exits the process or crashes only this engine, depending on the settings.
    pub(super) fn crash_on_request(&self) {
        if self.settings.crash_exits {
            std::process::exit(CRASH_STATUS);
        }
        self.crash();
    }
}
