use std::time::Duration;

/// Speeds of an engine, used until its own answers say otherwise.
///
/// The defaults are the speeds that the deployments' sheets give for their engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Prompt tokens that a prefill engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Part of that speed at which a decode engine reads a prompt in place.
    pub in_place_part: f64,
    /// Quadratic part of a prefill: milliseconds for a million pairs of tokens.
    pub pairs_ms_per_million: f64,
    /// Time of one decode step without other work.
    pub step: Duration,
    /// Time from the end of a prefill to the first event.
    pub first_event: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 95.0,
            in_place_part: 0.4,
            pairs_ms_per_million: 0.15,
            step: Duration::from_micros(3_500),
            first_event: Duration::from_millis(52),
        }
    }
}

impl Speed {
    /// Returns the milliseconds to read `tokens` of which the first `cached` are in the cache.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u32, cached: u32, is_in_place: bool) -> f64 {
        let all = f64::from(tokens);
        let new = f64::from(tokens.saturating_sub(cached));
        let kept = all - new;
        let pairs_millions = (all * all - kept * kept) / 2.0 / 1e6;
        let part = if is_in_place { self.in_place_part } else { 1.0 };
        (new / self.prefill_tokens_per_ms + pairs_millions * self.pairs_ms_per_million) / part
    }
}
