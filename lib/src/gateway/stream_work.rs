use ragwortgrade_policy::gateway::CallOutcome;

use super::work_guard::{CallGuard, SequenceGuard};

/// Work of an endpoint whose response is a stream.
#[derive(Debug)]
pub(super) enum StreamWork {
    /// A generation on an engine.
    Generation {
        sequence: SequenceGuard,
        /// Tokens per event.
        event_tokens: u32,
        /// Priority at the engine; 0 is the most urgent.
        priority: u8,
    },
    /// A call of a plain service.
    Call(CallGuard),
}

impl StreamWork {
    /// Records that the stream is complete.
    pub(super) fn complete(self) {
        match self {
            // The duration of a sequence is not used.
            Self::Generation { sequence, .. } => {
                sequence.finish(CallOutcome::Done { millis: 0.0 });
            }
            Self::Call(call) => call.complete(),
        }
    }

    /// Records that the endpoint did not complete the stream.
    pub(super) fn fail(self) {
        match self {
            Self::Generation { sequence, .. } => sequence.finish(CallOutcome::Failed),
            Self::Call(call) => call.finish(CallOutcome::Failed),
        }
    }

    pub(super) const fn is_generation(&self) -> bool {
        matches!(self, Self::Generation { .. })
    }

    /// Returns the priority at the engine, if there is one.
    pub(super) const fn priority(&self) -> Option<u8> {
        match self {
            Self::Generation { priority, .. } => Some(*priority),
            Self::Call(_) => None,
        }
    }

    /// Returns the tokens per event, if the events have tokens.
    pub(super) const fn event_tokens(&self) -> Option<u32> {
        match self {
            Self::Generation { event_tokens, .. } => Some(*event_tokens),
            Self::Call(_) => None,
        }
    }
}
