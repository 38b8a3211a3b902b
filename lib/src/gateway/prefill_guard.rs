use std::rc::Rc;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{CallOutcome, ObservedPrefill, Placement, Prompt};
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
    /// The prefill, which has not ended yet.
    observed: ObservedPrefill,
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
        let is_local = placement.prefill.is_none();
        let mut engines = shared.engines.borrow_mut();
        let cached_tokens = placement.cached_tokens;
        let wait_ms = engines.known_wait_ms(engine, priority, started_at);
        let observed = ObservedPrefill {
            is_local,
            configured_ms: engines.configured_prefill_ms(prompt, cached_tokens, is_local),
            wait_ms,
            overhead_ms,
            millis: 0.0,
        };
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
            observed,
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
            let observed = ObservedPrefill {
                millis,
                ..self.observed
            };
            engines.observe_prefill(&self.engine, &observed, now);
        }
        drop(engines);
        self.shared.notify_work_changed();
    }
}
