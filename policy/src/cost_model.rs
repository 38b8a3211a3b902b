/// Speeds and limits of engines, from which routing and planning derive times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Prompt tokens that an engine prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time of a decode step without sequences, in milliseconds.
    pub step_ms: f64,
    /// Time that each sequence adds to a decode step, in milliseconds.
    pub step_ms_per_sequence: f64,
    /// Maximum number of concurrent sequences of an engine.
    pub sequences_max: f64,
    /// Maximum number of prompt tokens in one step of a mixed or decode engine.
    pub chunk_tokens: f64,
    /// Tokens of KV cache that one engine sends to another per millisecond.
    pub transfer_tokens_per_ms: f64,
    /// Tokens in one block of KV cache memory.
    pub block_tokens: f64,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_capacity_tokens: f64,
    /// Duration of a role change after draining, in milliseconds.
    pub role_change_ms: f64,
    /// Longest gap between two tokens that is not a long gap, in milliseconds.
    pub gap_limit_ms: f64,
    /// Fraction of a sequence's gaps that may be long.
    pub long_gap_fraction: f64,
    /// Network round trip between two data centres, in milliseconds.
    pub data_centre_round_trip_ms: f64,
}

impl Default for CostModel {
    /// Returns the figures of the workload description: 20,000 prompt tokens per second, steps of
    /// 25 ms plus 0.15 ms for each of at most 128 sequences, chunks of 2,048 tokens, 320 KB per
    /// token over 10 GB/s, and 95% of the gaps at most 71 ms.
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 20.0,
            step_ms: 25.0,
            step_ms_per_sequence: 0.15,
            sequences_max: 128.0,
            chunk_tokens: 2_048.0,
            transfer_tokens_per_ms: 31.25,
            block_tokens: 2_048.0,
            kv_capacity_tokens: 1_000_000.0,
            role_change_ms: 5_000.0,
            gap_limit_ms: 71.0,
            long_gap_fraction: 0.05,
            data_centre_round_trip_ms: 3.0,
        }
    }
}

impl CostModel {
    /// Returns the time to prefill `tokens`.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms
    }

    /// Returns the time to transfer the KV cache of `tokens` between engines.
    #[must_use]
    pub fn transfer_ms(&self, tokens: f64) -> f64 {
        tokens / self.transfer_tokens_per_ms
    }

    /// Returns the time of a decode step with `sequences` and no prefill.
    #[must_use]
    pub fn decode_step_ms(&self, sequences: f64) -> f64 {
        self.step_ms + self.step_ms_per_sequence * sequences.clamp(0.0, self.sequences_max)
    }

    /// Returns the prompt tokens that fit into one step within the gap limit.
    #[must_use]
    pub fn step_budget_tokens(&self, sequences: f64) -> f64 {
        let room_ms = self.gap_limit_ms - self.decode_step_ms(sequences);
        (room_ms * self.prefill_tokens_per_ms).max(0.0)
    }

    /// Returns the engine time of one output token in a full batch.
    #[must_use]
    pub fn output_token_ms(&self) -> f64 {
        self.step_ms / self.sequences_max + self.step_ms_per_sequence
    }
}
