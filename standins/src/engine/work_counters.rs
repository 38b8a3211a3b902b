use serde::{Deserialize, Serialize};

/// Counters of the work that an engine received, for checks in tests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkCounters {
    /// Received completion requests, including refused ones.
    pub arrivals: u64,
    /// Unix time of the last completion request in milliseconds, or 0 before the first.
    pub last_arrival_ms: u64,
    /// Sequences that generated all their tokens.
    pub finished: u64,
    /// Sequences that were cancelled or whose client disconnected.
    pub cancelled: u64,
    /// Prompt tokens whose prefill was skipped thanks to the prefix cache or a KV import.
    pub saved_prefill_tokens: u64,
}
