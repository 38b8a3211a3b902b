use std::time::Duration;

/// Configured speeds of an engine, which observed response times correct.
///
/// The defaults are the speeds that the deployments declare for their engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Prompt tokens that a prefill engine processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Fraction of that speed at which a decode engine runs a local prefill.
    pub local_prefill_fraction: f64,
    /// Quadratic part of a prefill, in ms per million pairs of tokens.
    pub attention_ms_per_million: f64,
    /// Time of a decode step without sequences, in ms.
    pub step_ms: f64,
    /// Time that each sequence adds to a decode step, in ms.
    pub step_ms_per_sequence: f64,
    /// Time that a chunk of a local prefill adds to a decode step, in ms.
    pub chunk_ms: f64,
    /// Time from the end of a prefill to the first event.
    pub first_event: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 95.0,
            local_prefill_fraction: 0.4,
            attention_ms_per_million: 0.15,
            step_ms: 3.3,
            step_ms_per_sequence: 0.065,
            chunk_ms: 9.0,
            first_event: Duration::from_millis(52),
        }
    }
}

impl Speed {
    /// Returns the time of a decode step with `sequences`, in ms, when the engine runs local
    /// prefills for `prefill_fraction` of the time.
    #[must_use]
    pub fn step_ms(&self, sequences: u32, prefill_fraction: f64) -> f64 {
        self.step_ms
            + f64::from(sequences) * self.step_ms_per_sequence
            + prefill_fraction * self.chunk_ms
    }

    /// Returns the time to prefill `tokens` of which the first `cached` are in the cache, in ms.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u32, cached: u32, is_local_prefill: bool) -> f64 {
        let total = f64::from(tokens);
        let uncached = f64::from(tokens.saturating_sub(cached));
        let reused = total - uncached;
        let pairs_millions = (total * total - reused * reused) / 2.0 / 1e6;
        let fraction = if is_local_prefill {
            self.local_prefill_fraction
        } else {
            1.0
        };
        (uncached / self.prefill_tokens_per_ms + pairs_millions * self.attention_ms_per_million)
            / fraction
    }
}
