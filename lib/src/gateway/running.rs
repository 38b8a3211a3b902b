//! Work that runs at endpoints; dropping a guard counts its work as abandoned.

use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{Prompt, Work};
use ragwortgrade_schema::Name;

use super::shared::Shared;

/// A call that runs at a plain service.
#[derive(Debug)]
pub(super) struct PlainCall {
    shared: Rc<Shared>,
    endpoint: Name,
    begun: Instant,
    work: Work,
}

impl PlainCall {
    pub(super) fn begin(shared: &Rc<Shared>, endpoint: &Name) -> Self {
        let begun = shared.now();
        shared.plains.borrow_mut().sent(endpoint, begun);
        Self {
            shared: Rc::clone(shared),
            endpoint: endpoint.clone(),
            begun,
            work: Work::Abandoned,
        }
    }

    pub(super) fn done(self) {
        let millis = millis(self.shared.now().since(self.begun));
        self.end(Work::Done { millis });
    }

    pub(super) fn end(mut self, work: Work) {
        self.work = work;
    }
}

impl Drop for PlainCall {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut plains = self.shared.plains.borrow_mut();
        plains.ended(&self.endpoint, self.work, now);
    }
}

/// A prompt that an engine reads.
#[derive(Debug)]
pub(super) struct PromptRead {
    shared: Rc<Shared>,
    engine: Name,
    begun: Instant,
    priority: u8,
    prefill_ms: f64,
    expected_ms: f64,
    work: Work,
}

impl PromptRead {
    /// Notes that a prompt is sent; `overhead_ms` is what an answer takes beside the reading.
    pub(super) fn begin(
        shared: &Rc<Shared>,
        engine: &Name,
        priority: u8,
        prefill_ms: f64,
        overhead_ms: f64,
        prompt: &Prompt,
    ) -> Self {
        let begun = shared.now();
        let mut engines = shared.engines.borrow_mut();
        let expected_ms = engines.known_wait_ms(engine, priority, begun) + prefill_ms + overhead_ms;
        engines.prefill_sent(engine, priority, prefill_ms, expected_ms, prompt, begun);
        drop(engines);
        shared.note_work();
        Self {
            shared: Rc::clone(shared),
            engine: engine.clone(),
            begun,
            priority,
            prefill_ms,
            expected_ms,
            work: Work::Abandoned,
        }
    }

    /// Notes that the prompt was read; returns the milliseconds that it took.
    pub(super) fn done(self) -> f64 {
        let millis = millis(self.shared.now().since(self.begun));
        self.end(Work::Done { millis });
        millis
    }

    pub(super) fn end(mut self, work: Work) {
        self.work = work;
    }
}

impl Drop for PromptRead {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut engines = self.shared.engines.borrow_mut();
        engines.prefill_ended(
            &self.engine,
            self.priority,
            self.prefill_ms,
            self.expected_ms,
            self.work,
            now,
        );
        drop(engines);
        self.shared.note_work();
    }
}

/// A sequence that runs at an engine.
#[derive(Debug)]
pub(super) struct Sequence {
    shared: Rc<Shared>,
    engine: Name,
    work: Work,
}

impl Sequence {
    pub(super) fn begin(shared: &Rc<Shared>, engine: &Name, prompt: &Prompt) -> Self {
        let now = shared.now();
        let mut engines = shared.engines.borrow_mut();
        engines.sequence_sent(engine, prompt, now);
        drop(engines);
        shared.note_work();
        Self {
            shared: Rc::clone(shared),
            engine: engine.clone(),
            work: Work::Abandoned,
        }
    }

    pub(super) fn end(mut self, work: Work) {
        self.work = work;
    }
}

impl Drop for Sequence {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut engines = self.shared.engines.borrow_mut();
        engines.sequence_ended(&self.engine, self.work, now);
        drop(engines);
        self.shared.note_work();
    }
}

/// Returns a duration in milliseconds.
pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
