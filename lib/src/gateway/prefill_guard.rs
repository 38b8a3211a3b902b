use std::rc::Rc;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{CallOutcome, Placement, Prompt};
use ragwortgrade_schema::Name;

use super::shared::Shared;
use super::work_guard::millis;

/// A prefill in progress on an engine.
#[derive(Debug)]
pub(super) struct PrefillGuard {
    shared: Rc<Shared>,
    engine: Name,
    started_at: Instant,
    priority: u8,
    prefill_ms: f64,
    /// Engine time of the prefill at the configured speed, in ms.
    configured_ms: f64,
    /// Expected wait for known work, in ms.
    wait_ms: f64,
    /// Expected time until the response, including the wait for other work.
    expected_ms: f64,
    outcome: CallOutcome,
}

impl PrefillGuard {
    /// Records that a prompt is sent for prefill as placed; `overhead_ms` is the expected time until
    /// the response beyond the wait for other work and the prefill itself.
    pub(super) fn start(
        shared: &Rc<Shared>,
        engine: &Name,
        placement: &Placement,
        overhead_ms: f64,
        prompt: &Prompt,
    ) -> Self {
        let started_at = shared.now();
        let (priority, prefill_ms) = (placement.priority, placement.prefill_ms);
        let is_local_prefill = placement.prefill.is_none();
        let mut engines = shared.engines.borrow_mut();
        let configured_ms =
            engines.configured_prefill_ms(prompt, placement.cached_tokens, is_local_prefill);
        let wait_ms = engines.known_wait_ms(engine, priority, started_at);
        let expected_ms = wait_ms + prefill_ms + overhead_ms;
        engines.prefill_sent(
            engine,
            priority,
            prefill_ms,
            expected_ms,
            prompt,
            started_at,
        );
        drop(engines);
        shared.notify_work_changed();
        Self {
            shared: Rc::clone(shared),
            engine: engine.clone(),
            started_at,
            priority,
            prefill_ms,
            configured_ms,
            wait_ms,
            expected_ms,
            outcome: CallOutcome::Abandoned,
        }
    }

    /// Records that the prefill is complete; returns the time since the prompt was sent, in ms.
    pub(super) fn complete(self) -> f64 {
        let elapsed_ms = millis(self.shared.now().since(self.started_at));
        self.finish(CallOutcome::Done { millis: elapsed_ms });
        elapsed_ms
    }

    pub(super) fn finish(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut engines = self.shared.engines.borrow_mut();
        engines.prefill_ended(
            &self.engine,
            self.priority,
            self.prefill_ms,
            self.expected_ms,
            self.outcome,
            now,
        );
        if let CallOutcome::Done { millis } = self.outcome {
            // What exceeds the expected time is due to the engine.
            let engine_ms = self.prefill_ms + millis - self.expected_ms;
            engines.observe_prefill(
                &self.engine,
                self.configured_ms,
                engine_ms,
                self.wait_ms,
                now,
            );
        }
        drop(engines);
        self.shared.notify_work_changed();
    }
}
