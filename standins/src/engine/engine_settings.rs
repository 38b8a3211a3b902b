use ragwortgrade_schema::engine::Role;

/// Settings of an engine; the default speeds are far above those of real engines.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// `ip:port`; port 0 lets the system choose.
    pub address: String,
    /// Name in the load report.
    pub name: String,
    /// Role at the start.
    pub role: Role,
    /// Models at the start, as `name@version`.
    pub models: Vec<String>,
    /// Adapters at the start, as `name@version`.
    pub adapters: Vec<String>,
    /// Whether orders with an old fencing token are refused.
    pub checks_fence: bool,
    /// Prefill speed in tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Duration of a decode step in microseconds.
    pub step_us: u64,
    /// Time that each sequence adds to a step, in microseconds.
    pub step_us_per_sequence: u64,
    /// Sequences in the batch at most.
    pub sequences_max: usize,
    /// KV cache memory in tokens.
    pub kv_tokens_max: u64,
    /// Duration of a role change in milliseconds.
    pub role_change_ms: u64,
    /// Age of the load report at most, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Part of the cache events that is lost.
    pub cache_event_loss: f64,
    /// Seed of the losses.
    pub seed: u64,
    /// A prompt that contains this text crashes each engine that runs it.
    pub crash_marker: Option<String>,
    /// Whether a crash ends the process; otherwise the engine only stops answering.
    pub crash_exits: bool,
    /// Base URL of the weight store; models load at once without it.
    pub weights: Option<String>,
    /// File to which received orders are appended.
    pub order_log: Option<String>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            name: "engine".to_owned(),
            role: Role::Mixed,
            models: vec!["base@1".to_owned()],
            adapters: Vec::new(),
            checks_fence: true,
            prefill_tokens_per_second: 2_000_000.0,
            step_us: 1_000,
            step_us_per_sequence: 10,
            sequences_max: 128,
            kv_tokens_max: 1_000_000,
            role_change_ms: 2_000,
            load_lag_ms: 300,
            cache_event_lag_ms: 500,
            cache_event_loss: 0.02,
            seed: 1,
            crash_marker: None,
            crash_exits: false,
            weights: None,
            order_log: None,
        }
    }
}
