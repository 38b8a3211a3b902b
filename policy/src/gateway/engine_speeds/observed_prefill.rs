/// Times of a prefill that has ended, in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedPrefill {
    /// Whether the engine that prefilled the prompt also decodes.
    pub is_local: bool,
    /// Engine time of the prefill at the configured speed.
    pub configured_ms: f64,
    /// Expected wait for known work.
    pub wait_ms: f64,
    /// Assumed fixed part of the call.
    pub overhead_ms: f64,
    /// Time from sending the prompt to the response.
    pub millis: f64,
}
