use ragwortgrade_schema::Name;

/// One way to serve a model request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) endpoint: usize,
    /// Engine that prefills the prompt for `endpoint`; `None` for a local prefill.
    pub(super) prefill: Option<usize>,
    /// Prompt tokens to prefill after the cached prefix.
    pub(super) tokens: f64,
    /// Whether part of the prompt is cached.
    pub(super) is_cached: bool,
    /// Expected time to the first token, in ms. Like [`StageCandidate::wait_ms`], it includes
    /// tie-breaks and the penalty for a full engine.
    pub(super) first_token_ms: f64,
    /// Penalty for delays of running sequences, in ms of waiting.
    pub(super) gap_penalty_ms: f64,
    /// Expected number of steps that exceed the gap limit because of this request.
    pub(super) long_steps: f64,
    /// Whether the running sequences can take these steps without too many long gaps.
    pub(super) is_within_gap_limit: bool,
}

impl Choice {
    pub(super) fn cost_ms(&self) -> f64 {
        self.first_token_ms + self.gap_penalty_ms
    }
}

/// An engine that could run one stage of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageCandidate {
    pub(super) slot: usize,
    /// Expected wait including the network round trip, a random tie-break and, for a decode engine,
    /// a penalty for its fullness, in ms.
    pub(super) wait_ms: f64,
    /// Prompt tokens to prefill after the cached prefix.
    pub(super) tokens: f64,
    /// Whether part of the prompt is cached.
    pub(super) is_cached: bool,
    /// Expected sequences of a decode engine; 0 for a prefill engine.
    pub(super) sequences: f64,
    /// Utilization of the scarcest resource of a decode engine, as a fraction of its capacity.
    pub(super) fullness: f64,
    /// Prompt tokens queued at the engine.
    pub(super) queued_tokens: f64,
}

/// Model and token counts of the request to route.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestSize<'a> {
    pub(super) model: &'a Name,
    pub(super) prompt_tokens: f64,
    /// Expected number of output tokens.
    pub(super) output_tokens: f64,
}
