use super::Endpoint;

/// Time for which a sequence occupies a slot, in ms: an output of 250 tokens at 5 ms.
const SLOT_HOLD_MS: f64 = 1_250.0;
/// Scale of a softplus with the value of the normal expectation at 0, per standard deviation.
const SOFTPLUS_SCALE: f64 = 0.576;

/// An engine that could prefill the prompt.
#[derive(Debug)]
pub(super) struct PrefillCandidate<'a> {
    pub(super) engine: &'a Endpoint,
    /// Expected time until the prompt is prefilled, in ms.
    pub(super) latency_ms: f64,
    /// Latency plus the cost to other requests and to the rest of this one, in ms.
    pub(super) cost_ms: f64,
    pub(super) prefill_ms: f64,
    pub(super) cached_tokens: u32,
}

/// Estimated wait until an engine starts a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitEstimate {
    /// Expected wait, in ms.
    pub(super) latency_ms: f64,
    /// Wait plus penalties of the engine, in ms.
    pub(super) cost_ms: f64,
}

impl PrefillCandidate<'_> {
    /// Returns the time that the request waits for others at the engine, in ms.
    pub(super) fn queue_ms(&self) -> f64 {
        (self.latency_ms - self.prefill_ms).max(0.0)
    }
}

/// Returns the expected wait for a free slot, in ms.
///
/// The number of sequences is not exact: other daemons start some at the same time, and their
/// reports arrive late. It is taken as the mean of a Poisson distribution; the expected number
/// beyond the slots is a smooth maximum of the excess and 0.
pub(super) fn slot_wait_ms(sequences: u32, slots: u32) -> f64 {
    if sequences == 0 {
        return 0.0;
    }
    let excess = f64::from(sequences) + 1.0 - f64::from(slots);
    let scale = f64::from(sequences).sqrt() * SOFTPLUS_SCALE;
    let ahead = excess.max(0.0) + scale * (-excess.abs() / scale).exp().ln_1p();
    ahead * SLOT_HOLD_MS / f64::from(slots.max(1))
}
