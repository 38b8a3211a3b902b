//! Guards that record work in progress on endpoints; work whose guard is dropped without an outcome
//! counts as abandoned.

use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{CallOutcome, Prompt};
use ragwortgrade_schema::Name;

use super::shared::Shared;

/// A call in progress at a plain service.
#[derive(Debug)]
pub(super) struct CallGuard {
    shared: Rc<Shared>,
    endpoint: Name,
    started_at: Instant,
    /// Time until the response began, if it is a stream.
    first_ms: Option<f64>,
    outcome: CallOutcome,
}

impl CallGuard {
    pub(super) fn start(shared: &Rc<Shared>, endpoint: &Name) -> Self {
        let started_at = shared.now();
        shared.plain_pool.borrow_mut().sent(endpoint, started_at);
        Self {
            shared: Rc::clone(shared),
            endpoint: endpoint.clone(),
            started_at,
            first_ms: None,
            outcome: CallOutcome::Abandoned,
        }
    }

    /// Records that a stream has begun: how long it lasts says nothing about the endpoint's speed.
    pub(super) fn record_first_bytes(&mut self) {
        self.first_ms = Some(self.elapsed_ms());
    }

    pub(super) fn complete(self) {
        let millis = self.first_ms.unwrap_or_else(|| self.elapsed_ms());
        self.finish(CallOutcome::Done { millis });
    }

    fn elapsed_ms(&self) -> f64 {
        millis(self.shared.now().since(self.started_at))
    }

    pub(super) fn finish(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut plain_pool = self.shared.plain_pool.borrow_mut();
        plain_pool.ended(&self.endpoint, self.outcome, now);
    }
}

/// A sequence in progress on an engine.
#[derive(Debug)]
pub(super) struct SequenceGuard {
    shared: Rc<Shared>,
    engine: Name,
    outcome: CallOutcome,
}

impl SequenceGuard {
    pub(super) fn start(shared: &Rc<Shared>, engine: &Name, prompt: &Prompt) -> Self {
        let now = shared.now();
        let mut engines = shared.engines.borrow_mut();
        engines.sequence_sent(engine, prompt, now);
        drop(engines);
        shared.notify_work_changed();
        Self {
            shared: Rc::clone(shared),
            engine: engine.clone(),
            outcome: CallOutcome::Abandoned,
        }
    }

    pub(super) fn finish(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SequenceGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut engines = self.shared.engines.borrow_mut();
        engines.sequence_ended(&self.engine, self.outcome, now);
        drop(engines);
        self.shared.notify_work_changed();
    }
}

/// Returns a duration in milliseconds.
pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
